// The decision module. Its events are declared in LoadBalancer.java, its actions in LoadBalancerHost.java.
package lemonrail.core.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import lemonrail.core.LatencyEstimator;
import lemonrail.core.LoadSheddingReport;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.balancer.Request;

/**
 * A load balancer with the Boxcar design: a bounded pool of ranked slots on endpoints. Each request uses the free slot
 * of lowest rank, a failed attempt discards its slot and is retried on the next one, and requests without a usable slot
 * are rejected. This class only passes events to the policy classes, whose rules docs/DECISIONS.md lists. Not
 * thread-safe; each event passes the current time.
 */
public final class BoxcarLoadBalancer implements LoadBalancer {

    /** The interval of background rounds, as a fraction of the connect timeout. */
    private static final double BACKGROUND_INTERVAL_FRACTION = 0.5;

    private final LoadBalancerHost host;
    private final Map<String, InFlightRequest> requests = new HashMap<>();
    private final LatencyEstimator[] classLatencies;
    private final double backgroundIntervalMs;

    private final EndpointListPoller listPoller;
    private final EndpointTable endpoints;
    private final SlotRanking ranking;
    private final SlowStart slowStart;
    private final ZoneAffinity zoneAffinity;
    private final SlotPool pool;
    private final SlotSelector slotSelector;
    private final OutlierDetector outlierDetector;
    private final ConcurrencyLimit limit;
    private final TenantQuotas tenantQuotas;
    private final AdmissionController admissionController;
    private final RetryBudget retryBudget = new RetryBudget();
    private final RetryPolicy retryPolicy;
    private final AttemptTimeoutPolicy attemptTimeoutPolicy;
    private final GiveUpPolicy giveUpPolicy;
    private final LoadSheddingReport loadSheddingReport = new LoadSheddingReport();

    private BalancerSettings settings;
    private double nextBackgroundRoundMs;

    /** Creates a balancer that has no endpoints yet. It acts through {@code host}. */
    public BoxcarLoadBalancer(BalancerSettings settings, long seed, LoadBalancerHost host) {
        this.settings = settings;
        this.host = host;
        backgroundIntervalMs = settings.limits().connectTimeoutMs() * BACKGROUND_INTERVAL_FRACTION;
        classLatencies = settings.classes().stream().map(LatencyEstimator::new).toArray(LatencyEstimator[]::new);
        listPoller = new EndpointListPoller(settings.pollIntervalMs(), new SplittableRandom(seed), host);
        ranking = new SlotRanking(settings);
        slowStart = new SlowStart(settings, ranking);
        zoneAffinity = new ZoneAffinity(settings, ranking);
        limit = new ConcurrencyLimit(settings, ranking);
        SlotEligibility eligibility = new SlotEligibility(settings, ranking, slowStart, limit);
        pool = new SlotPool(ranking, eligibility, zoneAffinity, host);
        slotSelector = new SlotSelector(pool, eligibility);
        outlierDetector = new OutlierDetector(settings, pool, ranking, slowStart, loadSheddingReport);
        endpoints = new EndpointTable(ranking, slowStart, pool, outlierDetector, backgroundIntervalMs);
        tenantQuotas = new TenantQuotas(settings);
        admissionController = new AdmissionController(settings, limit);
        retryPolicy = new RetryPolicy(settings, retryBudget);
        attemptTimeoutPolicy = new AttemptTimeoutPolicy(settings);
        giveUpPolicy = new GiveUpPolicy(settings);
        if (settings.pollsEndpoints()) {
            listPoller.scheduleFirstPoll();
        }
    }

    @Override
    public boolean supportsSettingsUpdate() {
        return true;
    }

    @Override
    public void onSettings(double nowMs, BalancerSettings changed) {
        settings = changed;
        tenantQuotas.onSettings(changed);
        admissionController.onSettings(changed);
        retryPolicy.onSettings(changed);
        attemptTimeoutPolicy.onSettings(changed);
        giveUpPolicy.onSettings(changed);
        for (int i = 0; i < classLatencies.length; i++) {
            classLatencies[i].setDeadlineMs(changed.classes().get(i).deadlineMs());
        }
    }

    /** Returns the number of requests without a final response or with an attempt in flight. */
    public int requestsInFlight() {
        return requests.size();
    }

    /** Returns the number of known endpoints, including those that are gone but have attempts in flight. */
    int knownEndpoints() {
        return endpoints.all().size();
    }

    @Override
    public int ejectedEndpoints(double nowMs) {
        return (int) endpoints.all().stream()
                .filter(endpoint -> OutlierDetector.isRestricted(nowMs, endpoint))
                .count();
    }

    @Override
    public double concurrencyLimit() {
        return settings.tier() > 0 ? SlotPool.MAX_SLOTS : limit.current();
    }

    @Override
    public void onRequest(double nowMs, Request newRequest) {
        settings.check(newRequest);
        if (requests.containsKey(newRequest.id())) {
            throw new IllegalArgumentException("request " + newRequest.id() + " is already in flight");
        }
        runBackgroundRoundIfDue(nowMs);
        int requestClass = newRequest.requestClass();
        InFlightRequest request = new InFlightRequest(
                nowMs, newRequest, settings.classes().get(requestClass), classLatencies[requestClass]);
        requests.put(request.id(), request);
        zoneAffinity.onRequest(request.latency().baseMs());
        retryBudget.onRequest();
        boolean isForwarded = admit(nowMs, request) && startAttempt(nowMs, request);
        slowStart.onRequest(isForwarded);
        if (!isForwarded) {
            giveUp(request);
        }
    }

    private boolean admit(double nowMs, InFlightRequest request) {
        boolean isWithinQuota = tenantQuotas.charge(nowMs, request.tenant());
        AdmissionDecision decision = admissionController.decide(nowMs, request.requestClass(), isWithinQuota);
        if (!decision.isAdmitted()) {
            admissionController.onRejected(nowMs, decision);
            loadSheddingReport.onRejected();
        }
        return decision.isAdmitted();
    }

    /** Starts an attempt on the best slot for the request; returns false if it may use no slot. */
    private boolean startAttempt(double nowMs, InFlightRequest request) {
        Slot slot = slotSelector.choose(nowMs, request);
        if (slot == null) {
            return false;
        }
        pool.addIfCandidate(nowMs, slot);
        double timeoutMs = attemptTimeoutPolicy.timeoutMs(nowMs, request);
        request.onAttemptStarted(nowMs, slot);
        slot.onAttemptStarted();
        slot.endpoint().onAttemptStarted();
        limit.onAttemptStarted();
        host.startAttempt(request.id(), slot.endpoint().id(), timeoutMs);
        return true;
    }

    private void giveUp(InFlightRequest request) {
        request.markResponded();
        if (giveUpPolicy.decide(request) == FinalResponse.REJECT) {
            host.reject(request.id(), giveUpPolicy.retryAfterMs());
        } else {
            host.fail(request.id());
        }
        removeIfComplete(request);
    }

    private void removeIfComplete(InFlightRequest request) {
        if (request.isComplete()) {
            requests.remove(request.id());
        }
    }

    @Override
    public void onAttemptFinished(double nowMs, AttemptResult result) {
        runBackgroundRoundIfDue(nowMs);
        InFlightRequest request = requests.get(result.request());
        Attempt attempt = request == null ? null : request.attemptInFlight(result.attempt());
        if (attempt == null) {
            return;
        }
        request.onAttemptFinished(attempt, result.outcome());
        recordLatency(nowMs, request, attempt, result);
        recordLoad(nowMs, request, attempt, result);
        release(nowMs, attempt.slot(), result.outcome(), OutlierDetector.isFailure(request, result));
        if (result.concluded()) {
            request.markResponded();
        } else if (!request.isResponded() && !retry(nowMs, request, result)) {
            giveUp(request);
        }
        removeIfComplete(request);
    }

    private void recordLatency(double nowMs, InFlightRequest request, Attempt attempt, AttemptResult result) {
        double elapsedMs = result.endpointTimeMs();
        boolean isOk = result.outcome() == AttemptOutcome.OK;
        if (isOk || result.outcome() == AttemptOutcome.TIMED_OUT) {
            request.latency().recordElapsed(elapsedMs);
            outlierDetector.onElapsed(nowMs, attempt.endpoint(), request.latency(), elapsedMs);
        }
        if (isOk) {
            request.latency().recordResponse(elapsedMs);
            slowStart.onSuccess();
        }
    }

    private void recordLoad(double nowMs, InFlightRequest request, Attempt attempt, AttemptResult result) {
        admissionController.onAttemptFinished(nowMs, result.endpointTimeMs());
        EndpointRecord endpoint = attempt.endpoint();
        if (!OverloadSignal.isInformative(result.outcome(), outlierDetector.isHung(nowMs, endpoint))) {
            return;
        }
        double ratio = OverloadSignal.queueingDelayRatio(request, result);
        zoneAffinity.onQueueingDelay(endpoint, ratio);
        if (result.outcome() == AttemptOutcome.OK) {
            endpoint.statistics().recordResponse(nowMs, ratio);
        }
        boolean isDemandAboveLimit = admissionController.hasRecentlyRejectedWithinQuota(nowMs);
        limit.onAttemptFinished(nowMs, request, attempt, result, ratio, isDemandAboveLimit);
    }

    private void release(double nowMs, Slot slot, AttemptOutcome outcome, boolean isFailure) {
        EndpointRecord endpoint = slot.endpoint();
        if (!slot.isStreaming()) {
            endpoint.onAttemptReleased();
            limit.onAttemptReleased();
        }
        slot.onAttemptFinished();
        if (endpoint.isRemoved()) {
            return;
        }
        outlierDetector.onAttemptFinished(nowMs, slot, outcome, isFailure);
        if (slot.isDiscarded() && endpoint.isUnused()) {
            host.closeIdleConnections(endpoint.id());
            endpoints.removeIfGone(nowMs, endpoint);
        }
    }

    /** Retries the request if the policy allows it; returns whether an attempt was started. */
    private boolean retry(double nowMs, InFlightRequest request, AttemptResult result) {
        if (retryPolicy.decide(nowMs, request, result) != RetryDecision.RETRY) {
            return false;
        }
        // The token is used even if no slot is usable.
        retryBudget.takeToken();
        return startAttempt(nowMs, request);
    }

    @Override
    public void onResponseStreamStarted(double nowMs, String requestId, int attemptNumber) {
        runBackgroundRoundIfDue(nowMs);
        InFlightRequest request = requests.get(requestId);
        if (request == null || attemptNumber >= request.attempts().size()) {
            return;
        }
        request.markResponded();
        Attempt attempt = request.attemptInFlight(attemptNumber);
        if (attempt != null && !attempt.slot().isStreaming()) {
            attempt.slot().onResponseStreamStarted();
            attempt.endpoint().onAttemptReleased();
            limit.onAttemptReleased();
        }
    }

    @Override
    public void onRequestCancelled(double nowMs, String requestId) {
        runBackgroundRoundIfDue(nowMs);
        InFlightRequest request = requests.get(requestId);
        if (request == null) {
            return;
        }
        request.markResponded();
        if (settings.limits().cancel()) {
            cancelAttempts(request);
        }
        removeIfComplete(request);
    }

    private void cancelAttempts(InFlightRequest request) {
        for (int i = 0; i < request.attempts().size(); i++) {
            if (request.attemptInFlight(i) != null) {
                host.cancelAttempt(request.id(), i);
            }
        }
    }

    @Override
    public void onEndpointUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> entries) {
        if (kind == EndpointUpdateKind.FAILED) {
            listPoller.onPollFailed();
            return;
        }
        listPoller.onListReceived();
        endpoints.onUpdate(nowMs, kind, entries);
        limit.onCapacityChanged(slowStart.capacity(nowMs));
    }

    @Override
    public void onTimer(double nowMs, long name) {
        runBackgroundRoundIfDue(nowMs);
        listPoller.onTimer(name);
    }

    /** Updates time-dependent state and refills the pool, on the first event after each interval. */
    private void runBackgroundRoundIfDue(double nowMs) {
        if (nowMs < nextBackgroundRoundMs) {
            return;
        }
        nextBackgroundRoundMs = nowMs + backgroundIntervalMs;
        endpoints.assignPlaces(nowMs);
        zoneAffinity.onBackgroundRound(nowMs, backgroundIntervalMs);
        logLoadSheddingIfDue(nowMs);
        outlierDetector.onBackgroundRound(nowMs);
        slowStart.forEachWarmingUp(nowMs, endpoint -> updateRankCost(nowMs, endpoint));
        limit.onCapacityChanged(slowStart.capacity(nowMs));
        pool.refill(nowMs, limit.takePeakInFlight());
    }

    private void logLoadSheddingIfDue(double nowMs) {
        loadSheddingReport.logIfDue(
                nowMs,
                settings.tier(),
                limit.current(),
                outlierDetector.outliers(),
                ranking.readyEndpoints(),
                host::log);
    }

    /** An endpoint that has just become warm is always updated, as it may now have more than one slot. */
    private void updateRankCost(double nowMs, EndpointRecord endpoint) {
        if (slowStart.isWarmingUp(nowMs, endpoint)) {
            pool.updateRankCostIfChanged(nowMs, endpoint);
        } else {
            pool.updateRankCost(nowMs, endpoint);
        }
    }
}
