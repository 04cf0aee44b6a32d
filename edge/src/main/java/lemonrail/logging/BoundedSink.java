package lemonrail.logging;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Writes events to another sink on a separate thread, so that a slow reader of the log does not block the event
 * loop. Events wait in a bounded queue; when it is full they are dropped and counted, and a log line before the
 * next event written reports how many.
 */
public final class BoundedSink implements LogSink {

    /** The default capacity of the queue, in events. */
    public static final int DEFAULT_CAPACITY = 1024;
    /** How long {@link #close} waits for room in the queue, and then again for the queued events to be written. */
    private static final long CLOSE_TIMEOUT_MS = 250;

    /** The last event in the queue, which ends the writing thread. */
    private static final LogEvent END = new LogEvent(0, Severity.INFO, "", "", "", List.of());

    private final LogSink target;
    private final BlockingQueue<LogEvent> queue;
    private final AtomicInteger dropped = new AtomicInteger();
    private final Thread writer = new Thread(this::writeAll, "log");
    /** Number of dropped events already reported; used by the writing thread only. */
    private int reportedDropped;

    /** Creates a sink in front of {@code target} and starts its thread. */
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

    // END is compared by identity.
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
        int totalDropped = dropped.get();
        if (totalDropped != reportedDropped) {
            int newlyDropped = totalDropped - reportedDropped;
            reportedDropped = totalDropped;
            target.write(new LogEvent(
                    next.timestampMs(),
                    Severity.WARN,
                    EventLog.ROOT + ".logging",
                    "log_dropped",
                    newlyDropped + " log events were dropped because the reader of the log is too slow",
                    List.of("dropped", newlyDropped)));
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
