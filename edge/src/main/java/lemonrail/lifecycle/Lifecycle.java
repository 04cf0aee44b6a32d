package lemonrail.lifecycle;

import java.util.Locale;
import java.util.function.BooleanSupplier;

/**
 * What the process is at: starting, ready, draining by the operators' word, or stopping for good. A drain can
 * be taken back, a stop cannot, and a stop is no drain: the process ends on SIGTERM alone.
 */
public final class Lifecycle {

    /** The phases, as operators know them. */
    public enum Phase {
        STARTING,
        READY,
        DRAINING,
        STOPPING
    }

    private final BooleanSupplier knowsEndpoints;
    private boolean started;
    private boolean drained;
    private boolean stopping;

    /** A process that is of no use to clients before it knows of an endpoint. */
    public Lifecycle(BooleanSupplier knowsEndpoints) {
        this.knowsEndpoints = knowsEndpoints;
    }

    /** Whether clients may come. */
    public boolean isReady() {
        return phase() == Phase.READY && knowsEndpoints.getAsBoolean();
    }

    /** What the process is at, for people. */
    public String description() {
        return phase() == Phase.READY && !isReady()
                ? "no endpoint is known"
                : phase().name().toLowerCase(Locale.ROOT);
    }

    /** Where the process stands now. */
    public Phase phase() {
        return stopping ? Phase.STOPPING : drained ? Phase.DRAINING : started ? Phase.READY : Phase.STARTING;
    }

    /** All parts stand, and the code has run often enough to be quick. */
    public void markStarted() {
        started = true;
    }

    /** Operators empty the sidecar; true if it was not being emptied already. */
    public boolean startDraining() {
        boolean news = !drained;
        drained = true;
        return news;
    }

    /** Operators end the drain; true if there was one, and the process goes on. */
    public boolean stopDraining() {
        boolean news = drained && !stopping;
        drained = false;
        return news;
    }

    /** The process ends. */
    public void startStopping() {
        stopping = true;
    }
}
