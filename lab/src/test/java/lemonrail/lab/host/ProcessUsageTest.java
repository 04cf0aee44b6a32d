package lemonrail.lab.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import lemonrail.lab.host.ProcessUsage.Kind;
import lemonrail.lab.host.ProcessUsage.Threads;
import org.junit.jupiter.api.Test;

class ProcessUsageTest {

    private static final double EXACT = 1e-9;

    private static Threads ran(double ms) {
        return new Threads(Kind.OTHER, ms, 0, 0);
    }

    /** Guards against a sum that falls when a thread ends. */
    @Test
    void aThreadThatHasEndedCountsAsLastSeen() {
        ProcessUsage before = new ProcessUsage(10, Map.of("1/1", ran(5), "1/2", ran(8)), 40, 9);
        ProcessUsage now = new ProcessUsage(20, Map.of("1/1", ran(6), "1/3", ran(1)), 41, 8);
        ProcessUsage all = now.includingEndedThreads(before);
        assertEquals(6 + 8 + 1, all.cpuMs(), EXACT);
        assertEquals(41, all.residentMb(), EXACT);
        assertEquals(20, all.processMs(), EXACT, "the process's own count is ahead");
        assertEquals(
                6 + 8 + 1 + 30,
                new ProcessUsage(20, Map.of("1/4", ran(30)), 41, 8)
                        .includingEndedThreads(all)
                        .processMs(),
                EXACT,
                "its threads are ahead");
    }

    @Test
    void whereNothingIsToldOfThreadsTheProcesssCountIsAllThereIs() {
        assertEquals(20, new ProcessUsage(20, Map.of(), 41, 8).processMs(), EXACT);
    }

    @Test
    void ofThisProcess() throws Exception {
        long pid = ProcessHandle.current().pid();
        ProcessUsage used = ProcessUsage.of(pid);
        assertTrue(used.processMs() > 0 && used.processMs() >= used.statMs(), used.toString());
        assertTrue(ProcessUsage.residentMb(pid) > 1);
        assertTrue(ProcessUsage.proportionalMb(pid) > 1);
    }
}
