package lemonrail.upgrade;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.LongSupplier;
import java.util.zip.CRC32;
import lemonrail.logging.EventLog;

/**
 * The ids of recent requests that may have been executed. A client that has disconnected may send a request again, also
 * to the other process of an upgrade, and some requests must not be executed twice. The ids are in a file that both
 * processes map, or in this process alone if the file cannot be written. Their number is bounded: a full bucket forgets
 * its oldest id. Confined to the event loop.
 */
public final class ExecutedRequestIds {

    /** How long an id is remembered, which is longer than clients repeat their requests. */
    private static final long RETENTION_NANOS = 30_000_000_000L;

    private static final int BUCKETS = 1024;
    private static final int IDS_PER_BUCKET = 8;
    /** An entry is the hash of an id, and when it was added. */
    private static final int LONGS_PER_ENTRY = 2;

    private static final int LONGS_PER_BUCKET = IDS_PER_BUCKET * LONGS_PER_ENTRY;
    private static final int SIZE_BYTES = BUCKETS * LONGS_PER_BUCKET * Long.BYTES;

    private final LongBuffer entries;
    private final LongSupplier clockNanos;

    private ExecutedRequestIds(ByteBuffer memory, LongSupplier clockNanos) {
        entries = memory.order(ByteOrder.nativeOrder()).asLongBuffer();
        this.clockNanos = clockNanos;
    }

    /** Returns an empty set that this process does not share. */
    public static ExecutedRequestIds unshared() {
        return new ExecutedRequestIds(ByteBuffer.allocate(SIZE_BYTES), System::nanoTime);
    }

    /**
     * Returns the set that all processes with this file share.
     *
     * @param clockNanos a monotonic clock that all processes of the machine read alike, in nanoseconds
     */
    public static ExecutedRequestIds open(Path file, EventLog log, LongSupplier clockNanos) {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            allocate(channel);
            return new ExecutedRequestIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, SIZE_BYTES), clockNanos);
        } catch (IOException e) {
            log.forComponent("upgrade")
                    .warn(
                            "executed_ids_unshared",
                            "cannot share the ids of executed requests with another process: " + e.getMessage());
            return unshared();
        }
    }

    /** Writes the whole file, because a mapped page for which there is no room ends the process when it is written. */
    private static void allocate(FileChannel channel) throws IOException {
        ByteBuffer zeros = ByteBuffer.allocate((int) Math.max(0, SIZE_BYTES - channel.size()));
        long position = channel.size();
        while (zeros.hasRemaining()) {
            position += channel.write(zeros, position);
        }
    }

    /** Adds the id of a request that may have been executed. */
    public void add(String id) {
        long hash = hash(id);
        long nowNanos = clockNanos.getAsLong();
        int oldest = bucket(hash);
        for (int entry = bucket(hash); entry < bucket(hash) + LONGS_PER_BUCKET; entry += LONGS_PER_ENTRY) {
            if (entries.get(entry) == hash) {
                oldest = entry;
                break;
            }
            if (ageNanos(entry, nowNanos) > ageNanos(oldest, nowNanos)) {
                oldest = entry;
            }
        }
        entries.put(oldest, hash);
        entries.put(oldest + 1, nowNanos);
    }

    /** Returns whether a request with this id may have been executed recently. */
    public boolean contains(String id) {
        long hash = hash(id);
        long nowNanos = clockNanos.getAsLong();
        for (int entry = bucket(hash); entry < bucket(hash) + LONGS_PER_BUCKET; entry += LONGS_PER_ENTRY) {
            if (entries.get(entry) == hash && ageNanos(entry, nowNanos) < RETENTION_NANOS) {
                return true;
            }
        }
        return false;
    }

    /** Returns the age of an entry, the maximum for an unused one and for one of an earlier start of the machine. */
    private long ageNanos(int entry, long nowNanos) {
        boolean unused = entries.get(entry) == 0;
        long ageNanos = nowNanos - entries.get(entry + 1);
        return unused || ageNanos < 0 ? Long.MAX_VALUE : ageNanos;
    }

    private static int bucket(long hash) {
        return Math.floorMod(hash, BUCKETS) * LONGS_PER_BUCKET;
    }

    /** Returns the hash of an id, which is never 0. */
    private static long hash(String id) {
        CRC32 checksum = new CRC32();
        checksum.update(id.getBytes(StandardCharsets.UTF_8));
        long hash = checksum.getValue() << Integer.SIZE | Integer.toUnsignedLong(id.hashCode());
        return hash == 0 ? 1 : hash;
    }
}
