package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.List;
import lemonrail.core.ConnectFailureRate;
import lemonrail.core.LatencyEstimator;
import lemonrail.core.LoadSheddingReport;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;

/**
 * Ejects endpoints whose attempts fail, and readmits them by probes. An endpoint's state is a {@link HealthState}: a
 * failure that is attributed to the endpoint ejects it, the end of the ejection time starts probing, and enough
 * successes in a row make it healthy.
 */
final class OutlierDetector {

    /** Errors of an endpoint are attributed to chance up to this failure rate. */
    private static final double MAX_CHANCE_FAILURE_RATE = 0.4;
    /** Backoff after a full queue, as a multiple of the connect timeout. */
    private static final double QUEUE_FULL_BACKOFF_CONNECT_TIMEOUTS = 1;
    /**
     * Backoff after a single failed connect to an endpoint with open connections, as a multiple of the connect timeout.
     */
    private static final double ISOLATED_FAILURE_BACKOFF_CONNECT_TIMEOUTS = 2;

    /** What the result of an attempt says about its endpoint. */
    private enum Evidence {
        /** A failed connect that healthy endpoints have too. */
        CONNECT_FAILURE_BY_CHANCE,
        /** A first failed connect while other connections to the endpoint are open. */
        ISOLATED_CONNECT_FAILURE,
        FAILURE,
        SUCCESS,
        /** The endpoint is overloaded, not faulty. */
        QUEUE_FULL,
        NONE
    }

    private final SlotPool pool;
    private final SlotRanking ranking;
    private final SlowStart slowStart;
    private final LoadSheddingReport report;
    private final double connectTimeoutMs;
    private final List<EndpointRecord> backingOff = new ArrayList<>();
    private final ConnectFailureRate connectFailureRate = new ConnectFailureRate();
    private int outliers;

    OutlierDetector(
            BalancerSettings settings,
            SlotPool pool,
            SlotRanking ranking,
            SlowStart slowStart,
            LoadSheddingReport report) {
        this.pool = pool;
        this.ranking = ranking;
        this.slowStart = slowStart;
        this.report = report;
        connectTimeoutMs = settings.limits().connectTimeoutMs();
    }

    /** Returns the number of endpoints that are ejected or probing. */
    int outliers() {
        return outliers;
    }

    /**
     * Returns whether a result counts against the endpoint. A timeout does so only if the attempt lasted at least the
     * class's tail latency.
     */
    static boolean isFailure(InFlightRequest request, AttemptResult result) {
        return switch (result.outcome()) {
            case FAILED, CONNECT_ERROR, RESET -> true;
            case TIMED_OUT -> result.endpointTimeMs() >= request.latency().tailMs();
            default -> false;
        };
    }

    /** Returns whether a ready endpoint gets fewer or no requests because of its results. */
    static boolean isRestricted(double nowMs, EndpointRecord endpoint) {
        EndpointHealth health = endpoint.health();
        return endpoint.isReady()
                && (health.state(nowMs) != HealthState.HEALTHY || (!endpoint.hasSlots() && health.isBackingOff(nowMs)));
    }

    /**
     * Records the elapsed time of an attempt, with or without a response, and updates the endpoint's cost; ignored
     * while the endpoint is in slow start.
     */
    void onElapsed(double nowMs, EndpointRecord endpoint, LatencyEstimator classLatency, double elapsedMs) {
        if (!slowStart.isWarmingUp(nowMs, endpoint)) {
            endpoint.statistics().recordElapsed(elapsedMs, classLatency.typicalMs());
            pool.updateRankCostIfChanged(nowMs, endpoint);
        }
    }

    /**
     * Handles the end of an attempt on this slot.
     *
     * @param isFailure see {@link #isFailure}
     */
    void onAttemptFinished(double nowMs, Slot slot, AttemptOutcome outcome, boolean isFailure) {
        recordConnect(slot, outcome);
        EndpointRecord endpoint = slot.endpoint();
        switch (evidence(slot, outcome, isFailure)) {
            case CONNECT_FAILURE_BY_CHANCE -> {
                pool.discard(slot);
                pool.updateCandidate(nowMs, endpoint);
            }
            case ISOLATED_CONNECT_FAILURE -> {
                pool.discard(slot);
                backOff(nowMs, endpoint, connectTimeoutMs * ISOLATED_FAILURE_BACKOFF_CONNECT_TIMEOUTS);
            }
            case FAILURE -> onFailure(nowMs, slot, outcome);
            case SUCCESS -> onSuccess(nowMs, endpoint);
            case QUEUE_FULL -> {
                report.onQueueFull();
                pool.discard(slot);
                backOff(nowMs, endpoint, connectTimeoutMs * QUEUE_FULL_BACKOFF_CONNECT_TIMEOUTS);
            }
            default -> {}
        }
    }

    private void recordConnect(Slot slot, AttemptOutcome outcome) {
        boolean isConnectFailure = outcome == AttemptOutcome.CONNECT_ERROR;
        boolean isConnectTried = outcome != AttemptOutcome.CANCELED && outcome != AttemptOutcome.IGNORED;
        if (!slot.isConnected() && isConnectTried) {
            pool.onConnect(isConnectFailure);
        }
        EndpointHealth health = slot.endpoint().health();
        boolean isConnected = outcome == AttemptOutcome.OK
                || outcome == AttemptOutcome.FAILED
                || outcome == AttemptOutcome.QUEUE_FULL;
        if (isConnected && (!slot.isConnected() || health.consecutiveConnectFailures() > 0)) {
            connectFailureRate.recordSuccess(health.consecutiveConnectFailures());
            health.recordConnectSuccess();
        }
        slot.setConnected(isConnected);
        if (isConnectFailure) {
            health.recordConnectFailure();
        }
    }

    private Evidence evidence(Slot slot, AttemptOutcome outcome, boolean isFailure) {
        if (outcome == AttemptOutcome.CONNECT_ERROR) {
            if (isConnectFailureByChance(slot.endpoint())) {
                return Evidence.CONNECT_FAILURE_BY_CHANCE;
            }
            if (isIsolatedConnectFailure(slot)) {
                return Evidence.ISOLATED_CONNECT_FAILURE;
            }
        }
        if (isFailure && !isFailureShared()) {
            return Evidence.FAILURE;
        }
        return switch (outcome) {
            case OK -> Evidence.SUCCESS;
            case QUEUE_FULL -> Evidence.QUEUE_FULL;
            default -> Evidence.NONE;
        };
    }

    /**
     * Returns whether the endpoint's connect failures are attributed to chance. Where many balancers share few
     * endpoints none are, because the connects of all these balancers need backoff.
     */
    private boolean isConnectFailureByChance(EndpointRecord endpoint) {
        return connectFailureRate.isProbablyChance(endpoint.health().consecutiveConnectFailures())
                && ranking.readyEndpoints() * ConcurrencyLimit.INITIAL_REQUESTS_PER_ENDPOINT >= ranking.balancers();
    }

    private boolean isIsolatedConnectFailure(Slot slot) {
        return slot.endpoint().health().consecutiveConnectFailures() == 1 && pool.hasOtherConnectedSlot(slot);
    }

    /**
     * Returns whether the outliers are more than half as many as the ready endpoints. The cause is then a shared one,
     * and ejecting more endpoints would leave none.
     */
    private boolean isFailureShared() {
        return outliers * 2 > ranking.readyEndpoints();
    }

    /** Returns whether the endpoint is hung. An overloaded endpoint is not: it is slow but responds. */
    boolean isHung(double nowMs, EndpointRecord endpoint) {
        return endpoint.statistics().isSilent(nowMs) && !isFailureShared();
    }

    private void onFailure(double nowMs, Slot slot, AttemptOutcome outcome) {
        EndpointRecord endpoint = slot.endpoint();
        pool.discard(slot);
        double failureRate = endpoint.health().recordFailedOutcome();
        if (!isFailureByChance(endpoint, outcome, failureRate)) {
            eject(nowMs, endpoint);
        }
        pool.updateCandidate(nowMs, endpoint);
    }

    /**
     * Returns whether the failure is attributed to chance. A single error of a healthy endpoint may be, but a timeout
     * or a failed connect seldom happens by chance.
     */
    private static boolean isFailureByChance(EndpointRecord endpoint, AttemptOutcome outcome, double failureRate) {
        return !endpoint.health().isOutlier()
                && (outcome == AttemptOutcome.FAILED || outcome == AttemptOutcome.RESET)
                && failureRate <= MAX_CHANCE_FAILURE_RATE;
    }

    /**
     * Ejects the endpoint for a time that doubles with each consecutive failure. From the second failure on, all its
     * slots are discarded.
     */
    private void eject(double nowMs, EndpointRecord endpoint) {
        EndpointHealth health = endpoint.health();
        if (!health.isOutlier()) {
            outliers++;
            report.onEjected();
        }
        health.recordFailure();
        backOff(nowMs, endpoint, connectTimeoutMs * (1 << health.consecutiveFailures()));
        if (health.consecutiveFailures() > 1) {
            pool.discardAll(endpoint);
        }
    }

    private void backOff(double nowMs, EndpointRecord endpoint, double durationMs) {
        if (!endpoint.health().isBackingOff(nowMs)) {
            backingOff.add(endpoint);
        }
        endpoint.health().backOffUntil(nowMs + durationMs);
        pool.updateCandidate(nowMs, endpoint);
    }

    private void onSuccess(double nowMs, EndpointRecord endpoint) {
        boolean wasOutlier = endpoint.health().isOutlier();
        endpoint.health().recordSuccess();
        if (wasOutlier && !endpoint.health().isOutlier()) {
            outliers--;
            pool.updateCandidate(nowMs, endpoint);
        }
    }

    /** Allows new slots on endpoints whose backoff has ended; called in each background round. */
    void onBackgroundRound(double nowMs) {
        List<EndpointRecord> ended = backingOff.stream()
                .filter(endpoint -> !endpoint.health().isBackingOff(nowMs))
                .toList();
        backingOff.removeAll(ended);
        ended.forEach(endpoint -> pool.updateCandidate(nowMs, endpoint));
    }

    /** Makes the endpoint healthy and resets its statistics. */
    void reset(EndpointRecord endpoint) {
        if (endpoint.health().isOutlier()) {
            outliers--;
        }
        endpoint.health().reset();
        endpoint.statistics().reset();
    }

    void remove(EndpointRecord endpoint) {
        backingOff.remove(endpoint);
    }
}
