package lemonrail.lab.model;

import java.util.PriorityQueue;

/** A run without waiting: the clock stands still while something happens and then leaps to what is next. */
public final class VirtualScheduler implements Scheduler {

    private static final class Entry implements Due, Comparable<Entry> {
        private final double atMs;
        private final long number;
        private Runnable what;

        Entry(double atMs, long number, Runnable what) {
            this.atMs = atMs;
            this.number = number;
            this.what = what;
        }

        @Override
        public void cancel() {
            what = null;
        }

        @Override
        public int compareTo(Entry other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private double nowMs;
    private long entered;

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public Due after(double ms, Runnable what) {
        Entry entry = new Entry(nowMs + Math.max(0, ms), entered++, what);
        entries.add(entry);
        return entry;
    }

    /** Has all happen that is due by then, in the order of time and, at one time, of entry. */
    public void runUntil(double ms) {
        while (!entries.isEmpty() && entries.peek().atMs <= ms) {
            Entry next = entries.poll();
            if (next.what != null) {
                nowMs = next.atMs;
                next.what.run();
            }
        }
        nowMs = Math.max(nowMs, ms);
    }
}
