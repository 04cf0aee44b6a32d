package lemonrail.lab.model;

import java.util.function.Consumer;

/** Work of one request at an endpoint, with callbacks for its progress. */
public abstract class Work {

    /** Answer of an endpoint; {@code TURNED_AWAY} means rejected without execution. */
    public enum Answer {
        SERVED,
        ERROR,
        TURNED_AWAY
    }

    private final String key;
    private final double workMs;
    private int remainingCalls;
    private final double partMs;

    /** State that {@link EndpointModel} keeps: the attained service at which the current part is done. */
    double target;

    long number;
    boolean inSlot;
    boolean repeat;
    boolean finished;

    /**
     * Creates the work of a request.
     *
     * @param key idempotency key by which a rack drops repeats, or null
     * @param workMs work in this tier, in ms on a core of speed 1
     * @param calls number of sequential calls to the next tier, between the first half of the work and the second
     */
    protected Work(String key, double workMs, int calls) {
        this.key = key;
        this.workMs = workMs;
        remainingCalls = calls;
        partMs = workMs / (calls > 0 ? 2 : 1);
    }

    final String key() {
        return key;
    }

    /** Returns all work in this tier, in ms on a core of speed 1. */
    public final double workMs() {
        return workMs;
    }

    final double partMs() {
        return partMs;
    }

    final boolean takeCall() {
        return remainingCalls-- > 0;
    }

    /** The work has started, so the request may have its effect. Not called for a repeat that was dropped. */
    protected abstract void onStarted();

    /** Calls the next tier; {@code done} accepts whether the call was served. */
    protected abstract void callNextTier(Consumer<Boolean> done);

    /** The only answer. Not called if the work was cancelled, or lost because the endpoint went silent. */
    protected abstract void onAnswered(Answer answer);
}
