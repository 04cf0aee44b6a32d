package lemonrail.lab.model;

/**
 * Clock and timers of a run. Models take time only from here, so that the same model runs in real time on sockets
 * and in virtual time. Used from a single thread.
 */
public interface Scheduler {

    /** An action that has been scheduled. */
    interface ScheduledAction {
        /** Cancels the action; has no effect if it has run. */
        void cancel();
    }

    /** Returns the milliseconds since the run began; never decreases. */
    double nowMs();

    /** Schedules {@code action} in {@code delayMs}, or as soon as possible if that is 0 or less. */
    ScheduledAction after(double delayMs, Runnable action);
}
