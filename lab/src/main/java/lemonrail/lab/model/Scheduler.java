package lemonrail.lab.model;

/**
 * The time of a run and what is still to happen in it. A model takes its time from here and from nowhere
 * else, so that the same model lives on sockets and under a virtual clock. Used from one thread.
 */
public interface Scheduler {

    /** Something that is to happen. */
    interface Due {
        /** It happens no more; without effect where it has happened. */
        void cancel();
    }

    /** Milliseconds since the run began; never runs backwards. */
    double nowMs();

    /** Has something happen in so many milliseconds, or as soon as may be where that is 0 or less. */
    Due after(double ms, Runnable what);
}
