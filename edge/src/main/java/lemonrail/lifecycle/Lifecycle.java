package lemonrail.lifecycle;

import java.util.Locale;
import java.util.function.BooleanSupplier;

/**
 * The life cycle of a process. A drain can start in any phase; when it ends, the process returns to the phase before
 * the drain. Stopping is final and takes precedence over a drain. Used on the event loop only.
 */
public final class Lifecycle {

    /** The phases of a process. Their names are shown to operators. */
    public enum Phase {
        /** Components are being created and warmed up. */
        STARTING,
        /** Client requests are served. */
        READY,
        /** An operator is draining the process; it still serves requests that arrive. */
        DRAINING,
        /** The process completes the requests in flight and exits. */
        STOPPING
    }

    private final BooleanSupplier hasEndpoints;
    private boolean started;
    private boolean draining;
    private boolean stopping;

    /**
     * Creates the life cycle of a process that is starting.
     *
     * @param hasEndpoints returns whether an endpoint is known; until then the process is not ready
     */
    public Lifecycle(BooleanSupplier hasEndpoints) {
        this.hasEndpoints = hasEndpoints;
    }

    /** Returns whether clients should connect, which requires {@link Phase#READY} and at least one known endpoint. */
    public boolean isReady() {
        return phase() == Phase.READY && hasEndpoints.getAsBoolean();
    }

    /** Returns a text for operators: the phase, or the reason why a process in {@link Phase#READY} is not ready. */
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

    /**
     * Moves from {@link Phase#STARTING} to {@link Phase#READY}, because all components have been created and warmed up.
     */
    public void markStarted() {
        started = true;
    }

    /**
     * Moves to {@link Phase#DRAINING}, unless the process is stopping.
     *
     * @return whether no drain was in progress
     */
    public boolean startDraining() {
        boolean newlyDraining = !draining;
        draining = true;
        return newlyDraining;
    }

    /**
     * Ends a drain and moves back to the phase before it.
     *
     * @return whether a drain was in progress and the process is not stopping
     */
    public boolean stopDraining() {
        boolean resumed = draining && !stopping;
        draining = false;
        return resumed;
    }

    /** Moves to {@link Phase#STOPPING}, which is final. */
    public void startStopping() {
        stopping = true;
    }
}
