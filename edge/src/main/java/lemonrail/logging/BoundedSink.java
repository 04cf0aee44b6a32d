package lemonrail.logging;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Writes events to another sink from a thread of its own, so that a slow reader does not block the event loop. Events
 * wait in a bounded queue; those beyond it are dropped and counted, and the next line written tells how many.
 */
public final class BoundedSink implements LogSink {

    /** The default number of events that may wait. */
    public static final int DEFAULT_CAPACITY = 1024;
    /** The limit on the wait of a close for room in the queue, and again for the events in it. */
    private static final long CLOSE_TIMEOUT_MS = 250;

    private static final LogEvent END = new LogEvent(0, Severity.INFO, "", "", "", List.of());

    private final LogSink target;
    private final BlockingQueue<LogEvent> queue;
    private final AtomicInteger dropped = new AtomicInteger();
    private final Thread writer = new Thread(this::writeAll, "log");
    /** The dropped events that have been reported; belongs to the writing thread. */
    private int reportedDropped;

    /** Creates a sink before {@code target} and starts its thread. */
    public BoundedSink(LogSink target, int capacity) {
        this.target = target;
        queue = new ArrayBlockingQueue<>(capacity);
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public boolean isEnabled(Severity severity, String logger) {
        return target.isEnabled(severity, logger);
    }

    @Override
    public void write(LogEvent event) {
        if (!queue.offer(event)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void setLevel(String logger, Severity severity) {
        target.setLevel(logger, severity);
    }

    @Override
    public Map<String, String> levels() {
        return target.levels();
    }

    @Override
    public int dropped() {
        return dropped.get();
    }

    // END is a marker, compared by identity.
    @SuppressWarnings("ReferenceEquality")
    private void writeAll() {
        try {
            while (true) {
                LogEvent next = queue.take();
                if (next == END) {
                    return;
                }
                reportDropped(next);
                target.write(next);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reportDropped(LogEvent next) {
        int now = dropped.get();
        if (now != reportedDropped) {
            int missing = now - reportedDropped;
            reportedDropped = now;
            target.write(new LogEvent(
                    next.atMs(),
                    Severity.WARN,
                    EventLog.ROOT + ".logging",
                    "log_dropped",
                    missing + " log events were dropped: the log's reader is too slow",
                    List.of("dropped", missing)));
        }
    }

    @Override
    public void close() {
        try {
            if (queue.offer(END, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                writer.join(CLOSE_TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        target.close();
    }
}
