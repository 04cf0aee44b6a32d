package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The way of a long list through the sidecar: what a change costs must not grow with the list. */
class ListPathTest {

    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final int FEW = 400;
    private static final int MANY = 4000;

    @TempDir
    Path folder;

    private interface Work {
        void run() throws Exception;
    }

    /** Processor time, the least of several as others use the machine, too. */
    private static double leastNs(Work work) throws Exception {
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < 6; i++) {
            long before = CPU.getCurrentThreadCpuTime();
            work.run();
            least = Math.min(least, (double) (CPU.getCurrentThreadCpuTime() - before));
        }
        return least;
    }

    /** Guards against a search for each address through all (before: 181 times the cost). */
    @Test
    void aWholeListCostsInStepWithItsLength() throws Exception {
        try (ListPathCost few = new ListPathCost(FEW, folder.resolve("few"));
                ListPathCost many = new ListPathCost(MANY, folder.resolve("many"))) {
            double ratio = leastNs(() -> many.whole(3)) / leastNs(() -> few.whole(3));
            assertTrue(ratio < 35, "ten times as many listed cost " + ratio + " times as much");
            assertEquals(MANY, many.endpoints());
        }
    }

    /** Guards against a cost of each change that grows with the list (before: 20 times as much). */
    @Test
    void aChangeCostsNoMoreInALongList() throws Exception {
        try (ListPathCost few = new ListPathCost(FEW, folder.resolve("few"));
                ListPathCost many = new ListPathCost(MANY, folder.resolve("many"))) {
            double ratio = leastNs(() -> many.changes(500, 0)) / leastNs(() -> few.changes(500, 0));
            assertTrue(ratio < 4, "ten times as many listed cost " + ratio + " times as much");
        }
    }
}
