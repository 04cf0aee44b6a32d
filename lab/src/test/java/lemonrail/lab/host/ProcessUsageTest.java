package lemonrail.lab.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import lemonrail.lab.host.ProcessUsage.Kind;
import lemonrail.lab.host.ProcessUsage.Threads;
import org.junit.jupiter.api.Test;

class ProcessUsageTest {

    private static final double TOLERANCE = 1e-9;

    private static Threads threads(double cpuMs) {
        return new Threads(Kind.OTHER, cpuMs, 0, 0);
    }

    /** Guards against a total processor time that decreases when a thread ends. */
    @Test
    void endedThreadsCountWithTheirLastSample() {
        ProcessUsage before = new ProcessUsage(10, Map.of("1/1", threads(5), "1/2", threads(8)), 40, 9);
        ProcessUsage current = new ProcessUsage(20, Map.of("1/1", threads(6), "1/3", threads(1)), 41, 8);
        ProcessUsage total = current.includingEndedThreads(before);
        assertEquals(6 + 8 + 1, total.cpuMs(), TOLERANCE);
        assertEquals(41, total.residentMb(), TOLERANCE);
        assertEquals(
                20, total.processMs(), TOLERANCE, "the processor time of the process exceeds the sum of its threads");
        assertEquals(
                6 + 8 + 1 + 30,
                new ProcessUsage(20, Map.of("1/4", threads(30)), 41, 8)
                        .includingEndedThreads(total)
                        .processMs(),
                TOLERANCE,
                "the sum of the threads exceeds the processor time of the process");
    }

    @Test
    void withoutThreadsProcessTimeIsUsed() {
        assertEquals(20, new ProcessUsage(20, Map.of(), 41, 8).processMs(), TOLERANCE);
    }

    @Test
    void usageOfThisProcessIsRead() throws Exception {
        long pid = ProcessHandle.current().pid();
        ProcessUsage used = ProcessUsage.of(pid);
        assertTrue(used.processMs() > 0 && used.processMs() >= used.statMs(), used.toString());
        assertTrue(ProcessUsage.residentMb(pid) > 1);
        assertTrue(ProcessUsage.proportionalMb(pid) > 1);
    }
}
