package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The cost of long endpoint lists in the sidecar: the cost of a delta must not grow with the length of the list. */
class ListPathTest {

    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final int FEW_ENDPOINTS = 400;
    private static final int MANY_ENDPOINTS = 4000;

    @TempDir
    Path folder;

    private interface Task {
        void run() throws Exception;
    }

    /** Returns the shortest processor time of several runs, because other processes slow some of them down. */
    private static double minCpuNs(Task task) throws Exception {
        double minNs = Double.POSITIVE_INFINITY;
        for (int i = 0; i < 6; i++) {
            long startNs = CPU.getCurrentThreadCpuTime();
            task.run();
            minNs = Math.min(minNs, (double) (CPU.getCurrentThreadCpuTime() - startNs));
        }
        return minNs;
    }

    /** Guards against a linear search for each address of a list, which would make the cost quadratic. */
    @Test
    void costOfAFullSnapshotIsLinear() throws Exception {
        try (ListPathCost few = new ListPathCost(FEW_ENDPOINTS, folder.resolve("few"));
                ListPathCost many = new ListPathCost(MANY_ENDPOINTS, folder.resolve("many"))) {
            double ratio = minCpuNs(() -> many.applyFullSnapshots(3)) / minCpuNs(() -> few.applyFullSnapshots(3));
            assertTrue(ratio < 35, "ten times as many endpoints take " + ratio + " times the processor time");
            assertEquals(MANY_ENDPOINTS, many.endpointCount());
        }
    }

    /** Guards against a cost of each delta that grows with the list. */
    @Test
    void costOfADeltaIsIndependentOfTheListLength() throws Exception {
        try (ListPathCost few = new ListPathCost(FEW_ENDPOINTS, folder.resolve("few"));
                ListPathCost many = new ListPathCost(MANY_ENDPOINTS, folder.resolve("many"))) {
            double ratio = minCpuNs(() -> many.applyDeltas(500, 0)) / minCpuNs(() -> few.applyDeltas(500, 0));
            assertTrue(ratio < 4, "ten times as many endpoints take " + ratio + " times the processor time");
        }
    }
}
