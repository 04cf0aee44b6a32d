package lemonrail.logging;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Keeps a slow reader of the log from holding up the event loop: events wait in a bounded queue for a thread
 * that writes them. Where the queue is full they are dropped and counted, and once there is room again a line
 * says how many are missing.
 */
public final class BoundedSink implements LogSink {

    /** Events that may wait where nothing else is said. */
    public static final int USUAL_WAITING = 1024;
    /** How long a close waits for room in the queue, and then for what is still in it. */
    private static final long CLOSE_MS = 250;

    private static final LogEvent END = new LogEvent(0, Severity.INFO, "", "", "", List.of());

    private final LogSink target;
    private final BlockingQueue<LogEvent> waiting;
    private final AtomicInteger dropped = new AtomicInteger();
    private final Thread writer = new Thread(this::writeAll, "log");
    private int told;

    /** Writes to {@code target} from a thread of its own; so many events may wait. */
    public BoundedSink(LogSink target, int mostWaiting) {
        this.target = target;
        waiting = new ArrayBlockingQueue<>(mostWaiting);
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public boolean takes(Severity severity, String logger) {
        return target.takes(severity, logger);
    }

    @Override
    public void write(LogEvent event) {
        if (!waiting.offer(event)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void level(String logger, Severity severity) {
        target.level(logger, severity);
    }

    @Override
    public Map<String, String> levels() {
        return target.levels();
    }

    @Override
    public int dropped() {
        return dropped.get();
    }

    // END is a marker, which no event equals.
    @SuppressWarnings("ReferenceEquality")
    private void writeAll() {
        try {
            while (true) {
                LogEvent next = waiting.take();
                if (next == END) {
                    return;
                }
                tellDropped(next);
                target.write(next);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tellDropped(LogEvent next) {
        int now = dropped.get();
        if (now != told) {
            int missing = now - told;
            told = now;
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
            if (waiting.offer(END, CLOSE_MS, TimeUnit.MILLISECONDS)) {
                writer.join(CLOSE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        target.close();
    }
}
