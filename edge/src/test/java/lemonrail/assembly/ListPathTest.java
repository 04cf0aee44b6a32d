package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The path of a long endpoint list through the sidecar: the cost of a change must not grow with the list. */
class ListPathTest {

    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final int FEW = 400;
    private static final int MANY = 4000;

    @TempDir
    Path folder;

    private interface Task {
        void run() throws Exception;
    }

    /** Returns the shortest processor time of several runs, as other processes disturb some. */
    private static double minCpuNs(Task task) throws Exception {
        double minNs = Double.POSITIVE_INFINITY;
        for (int i = 0; i < 6; i++) {
            long before = CPU.getCurrentThreadCpuTime();
            task.run();
            minNs = Math.min(minNs, (double) (CPU.getCurrentThreadCpuTime() - before));
        }
        return minNs;
    }

    /** Guards against a linear search for each address. */
    @Test
    void theCostOfAFullSnapshotIsLinear() throws Exception {
        try (ListPathCost few = new ListPathCost(FEW, folder.resolve("few"));
                ListPathCost many = new ListPathCost(MANY, folder.resolve("many"))) {
            double ratio = minCpuNs(() -> many.fullSnapshots(3)) / minCpuNs(() -> few.fullSnapshots(3));
            assertTrue(ratio < 35, "ten times as many listed cost " + ratio + " times as much");
            assertEquals(MANY, many.endpointCount());
        }
    }

    /** Guards against a cost of each change that grows with the list. */
    @Test
    void theCostOfAChangeIsIndependentOfTheList() throws Exception {
        try (ListPathCost few = new ListPathCost(FEW, folder.resolve("few"));
                ListPathCost many = new ListPathCost(MANY, folder.resolve("many"))) {
            double ratio = minCpuNs(() -> many.changes(500, 0)) / minCpuNs(() -> few.changes(500, 0));
            assertTrue(ratio < 4, "ten times as many listed cost " + ratio + " times as much");
        }
    }
}
