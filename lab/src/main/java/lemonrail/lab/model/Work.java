package lemonrail.lab.model;

import java.util.function.Consumer;

/** A request at an endpoint, and who hears what comes of it. */
public abstract class Work {

    /** What an endpoint answers. */
    public enum Answer {
        SERVED,
        ERROR,
        TURNED_AWAY
    }

    private final String key;
    private final double workMs;
    private int callsLeft;
    private final double partMs;

    /** The endpoint's own marks. */
    double target;

    long number;
    boolean slotted;
    boolean repeat;
    boolean over;

    /**
     * A request.
     *
     * @param key by which a rack drops its repeats, or null
     * @param workMs of this tier, on a core of speed 1
     * @param calls to the next tier, one after another, between the first part of the work and the rest
     */
    protected Work(String key, double workMs, int calls) {
        this.key = key;
        this.workMs = workMs;
        callsLeft = calls;
        partMs = workMs / (calls > 0 ? 2 : 1);
    }

    final String key() {
        return key;
    }

    /** All of its work in this tier. */
    public final double workMs() {
        return workMs;
    }

    final double partMs() {
        return partMs;
    }

    final boolean takeCall() {
        return callsLeft-- > 0;
    }

    /** Its work has begun: from now on it may have its effect. Not told of a repeat that was dropped. */
    protected abstract void began();

    /** The next tier is to be called; {@code done} takes whether it served. */
    protected abstract void call(Consumer<Boolean> done);

    /** The one answer; none comes of what was cancelled, or of an endpoint that is silent. */
    protected abstract void answered(Answer answer);
}
