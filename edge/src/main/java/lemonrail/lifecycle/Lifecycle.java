package lemonrail.lifecycle;

import java.util.Locale;
import java.util.function.BooleanSupplier;

/**
 * The phase of a process. A drain may begin in any phase and can be ended; the process then is where it was before.
 * Stopping is final and takes precedence over a drain. Used on the event loop only.
 */
public final class Lifecycle {

    /** The phases, by the names that operators see. */
    public enum Phase {
        /** Parts are being created and warmed up. */
        STARTING,
        /** Clients are served. */
        READY,
        /** Operators are emptying the process; it still serves requests that arrive. */
        DRAINING,
        /** The process completes what is in flight and exits. */
        STOPPING
    }

    private final BooleanSupplier hasEndpoints;
    private boolean started;
    private boolean draining;
    private boolean stopping;

    /**
     * Creates the life cycle of a process that is starting.
     *
     * @param hasEndpoints whether an endpoint is known; the process is not ready before
     */
    public Lifecycle(BooleanSupplier hasEndpoints) {
        this.hasEndpoints = hasEndpoints;
    }

    /** Returns whether clients should connect: in {@link Phase#READY}, and once an endpoint is known. */
    public boolean isReady() {
        return phase() == Phase.READY && hasEndpoints.getAsBoolean();
    }

    /** Returns the phase or what keeps the process from being ready, for people. */
    public String description() {
        if (phase() == Phase.READY && !isReady()) {
            return "no endpoint is known";
        }
        return phase().name().toLowerCase(Locale.ROOT);
    }

    /** Returns the current phase. */
    public Phase phase() {
        if (stopping) {
            return Phase.STOPPING;
        }
        if (draining) {
            return Phase.DRAINING;
        }
        return started ? Phase.READY : Phase.STARTING;
    }

    /** Moves from {@link Phase#STARTING} to {@link Phase#READY}: all parts have been created and warmed up. */
    public void markStarted() {
        started = true;
    }

    /**
     * Moves to {@link Phase#DRAINING}, unless the process is stopping.
     *
     * @return whether no drain was in progress
     */
    public boolean startDraining() {
        boolean begins = !draining;
        draining = true;
        return begins;
    }

    /**
     * Ends a drain and moves back to the phase before it.
     *
     * @return whether a drain was in progress and the process is not stopping
     */
    public boolean stopDraining() {
        boolean resumes = draining && !stopping;
        draining = false;
        return resumes;
    }

    /** Moves to {@link Phase#STOPPING}, for good. */
    public void startStopping() {
        stopping = true;
    }
}
