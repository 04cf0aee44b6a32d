package lemonrail.lab.model;

import java.util.PriorityQueue;

/** Discrete-event scheduler: the clock stands still while an action runs, then jumps to the next action. */
public final class VirtualScheduler implements Scheduler {

    private static final class Entry implements ScheduledAction, Comparable<Entry> {
        private final double atMs;
        private final long number;
        private Runnable action;

        Entry(double atMs, long number, Runnable action) {
            this.atMs = atMs;
            this.number = number;
            this.action = action;
        }

        @Override
        public void cancel() {
            action = null;
        }

        @Override
        public int compareTo(Entry other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private double nowMs;
    private long nextNumber;

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public ScheduledAction after(double delayMs, Runnable action) {
        Entry entry = new Entry(nowMs + Math.max(0, delayMs), nextNumber++, action);
        entries.add(entry);
        return entry;
    }

    /** Runs all actions due until {@code untilMs}, ordered by time and, at equal times, in the order of scheduling. */
    public void runUntil(double untilMs) {
        while (!entries.isEmpty() && entries.peek().atMs <= untilMs) {
            Entry next = entries.poll();
            if (next.action != null) {
                nowMs = next.atMs;
                next.action.run();
            }
        }
        nowMs = Math.max(nowMs, untilMs);
    }
}
