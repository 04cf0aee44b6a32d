package lemonrail.assembly;

import io.netty.util.internal.PlatformDependent;
import lemonrail.config.EdgeConfig;
import lemonrail.streaming.BufferBudget;

/**
 * Divides the memory of the process between what requests and responses hold and what each open connection may hold in
 * any case. Both follow from the heap, the direct memory and the memory limit of the settings, so that the sum fits
 * into the heap in every state of the connections.
 */
final class MemoryPlan {

    private static final long BYTES_PER_KB = 1024;
    private static final long BYTES_PER_MB = 1024 * BYTES_PER_KB;
    /** The live heap of a process without connections, with a list of a thousand endpoints. */
    private static final long PROGRAM_BYTES = 5 * BYTES_PER_MB;
    /** The part of the heap that live objects may fill; the rest is left to the garbage collector. */
    private static final double USABLE_HEAP_FRACTION = 0.9;
    /** The part of the heap without the program, and of the direct memory, that requests and responses may fill. */
    private static final double BUDGET_FRACTION = 0.4;
    /** The part of the memory limit that counts as heap where the JVM was started with a larger heap. */
    private static final double MAX_HEAP_FRACTION_OF_LIMIT = 1.0 / 3;
    /** The objects of an open connection: channel, handlers, timers. */
    private static final long CONNECTION_OBJECTS_BYTES = 4 * BYTES_PER_KB;
    /** The decoder's copy of an incomplete line. */
    private static final long DECODER_LINE_BYTES = 8 * BYTES_PER_KB;
    /**
     * What a connection may hold in the worst case while the budget is used up: its objects, an incomplete line, one
     * small request that is being read and another one that is in flight.
     */
    private static final long RESERVED_BYTES_PER_CONNECTION =
            CONNECTION_OBJECTS_BYTES + DECODER_LINE_BYTES + 2L * BufferBudget.GUARANTEED_BYTES;

    private static final long MIN_BUDGET_BYTES = BYTES_PER_MB;
    private static final int MIN_CONNECTIONS = 64;

    private final long heapBytes;
    private final long directBytes;

    /**
     * Creates a plan.
     *
     * @param maxHeapBytes the maximum heap of the JVM
     * @param maxDirectBytes the maximum size of all direct buffers
     * @param memoryMb the memory limit of the settings, in MiB
     */
    MemoryPlan(long maxHeapBytes, long maxDirectBytes, double memoryMb) {
        long limitBytes = (long) (memoryMb * BYTES_PER_MB);
        heapBytes = Math.min(maxHeapBytes, (long) (limitBytes * MAX_HEAP_FRACTION_OF_LIMIT));
        directBytes = Math.min(maxDirectBytes, limitBytes);
    }

    /** Returns the plan of this process. */
    static MemoryPlan of(EdgeConfig config) {
        return new MemoryPlan(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory(), config.memoryMb());
    }

    /** Returns how many bytes requests and responses may hold together, in the heap and in direct buffers. */
    long budgetBytes() {
        long available = Math.min(heapBytes - PROGRAM_BYTES, directBytes);
        return Math.max(MIN_BUDGET_BYTES, (long) (available * BUDGET_FRACTION));
    }

    /** Returns how many client connections the heap can hold besides the budget. */
    int maxClientConnections() {
        double availableBytes = heapBytes * USABLE_HEAP_FRACTION - PROGRAM_BYTES - budgetBytes();
        return (int) Math.max(MIN_CONNECTIONS, availableBytes / RESERVED_BYTES_PER_CONNECTION);
    }
}
