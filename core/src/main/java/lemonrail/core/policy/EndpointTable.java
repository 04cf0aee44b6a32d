package lemonrail.core.policy;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;

/** The known endpoints. It takes in updates of the endpoint list and notifies the rules of what has changed. */
final class EndpointTable {

    /**
     * The most endpoints that are placed anew for one change of the list. While changes come faster than that, places
     * are settled once for many of them, as the cost is that of the whole list.
     */
    private static final int MAX_ENDPOINTS_SETTLED_PER_CHANGE = 32;

    private final SlotRanking ranking;
    private final SlowStart slowStart;
    private final SlotPool pool;
    private final OutlierDetector outlierDetector;
    private final double settleIntervalMs;
    private final Map<String, EndpointRecord> endpoints = new LinkedHashMap<>();
    private double nextSettleMs;

    EndpointTable(
            SlotRanking ranking,
            SlowStart slowStart,
            SlotPool pool,
            OutlierDetector outlierDetector,
            double settleIntervalMs) {
        this.ranking = ranking;
        this.slowStart = slowStart;
        this.pool = pool;
        this.outlierDetector = outlierDetector;
        this.settleIntervalMs = settleIntervalMs;
    }

    /** Returns all known endpoints, those among them that are gone but still have attempts in flight. */
    Collection<EndpointRecord> all() {
        return Collections.unmodifiableCollection(endpoints.values());
    }

    /** Takes in a full list or a delta. */
    void onUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> entries) {
        if (kind != EndpointUpdateKind.DELTA) {
            removeMissing(nowMs, entries);
        }
        entries.forEach(entry -> update(nowMs, entry));
        boolean isCheap = ranking.unsettledChanges() * MAX_ENDPOINTS_SETTLED_PER_CHANGE >= ranking.readyEndpoints();
        if (nowMs >= nextSettleMs || isCheap) {
            settle(nowMs);
        }
    }

    private void removeMissing(double nowMs, List<Endpoint> entries) {
        Set<String> listedIds = entries.stream().map(Endpoint::id).collect(Collectors.toSet());
        List.copyOf(endpoints.values()).stream()
                .filter(endpoint -> !listedIds.contains(endpoint.id()))
                .forEach(endpoint -> update(nowMs, endpoint.listed().withState(EndpointState.GONE)));
    }

    private void update(double nowMs, Endpoint entry) {
        EndpointRecord endpoint = endpoints.get(entry.id());
        if (endpoint == null && entry.state() == EndpointState.GONE) {
            return;
        }
        if (endpoint != null && entry.startedMs() != endpoint.listed().startedMs()) {
            // A new process: nothing learned of the previous one counts, nor do the results of its attempts.
            pool.discardAll(endpoint);
            forget(nowMs, endpoint);
            endpoint = null;
        }
        if (endpoint == null) {
            endpoint = new EndpointRecord(entry);
            endpoints.put(entry.id(), endpoint);
        }
        adoptEntry(nowMs, endpoint, entry);
        forgetIfGone(nowMs, endpoint);
    }

    private void adoptEntry(double nowMs, EndpointRecord endpoint, Endpoint entry) {
        boolean isReady = entry.state() == EndpointState.READY;
        if (isReady && endpoint.listed().state() != EndpointState.READY) {
            // Back from draining, for example after maintenance: its earlier results no longer count.
            outlierDetector.reset(endpoint);
        }
        ranking.onListed(endpoint, entry);
        slowStart.onListed(nowMs, endpoint);
        if (!isReady) {
            pool.discardAll(endpoint);
        }
        pool.updateRankCost(nowMs, endpoint);
    }

    /** Gives ready endpoints their places and slots their ranks, if the list has changed any of them. */
    void settle(double nowMs) {
        if (ranking.unsettledChanges() > 0) {
            ranking.settle();
            pool.onPlacesSettled(nowMs);
            nextSettleMs = nowMs + settleIntervalMs;
        }
    }

    /** Forgets an endpoint that has left the list once no attempt is in flight there. */
    void forgetIfGone(double nowMs, EndpointRecord endpoint) {
        if (endpoint.listed().state() == EndpointState.GONE && endpoint.inFlight() == 0) {
            forget(nowMs, endpoint);
        }
    }

    /** Drops all that is known of the endpoint; results of its attempts then only free what they held. */
    private void forget(double nowMs, EndpointRecord endpoint) {
        ranking.onListed(endpoint, endpoint.listed().withState(EndpointState.GONE));
        outlierDetector.reset(endpoint);
        endpoint.markForgotten();
        pool.updateCandidate(nowMs, endpoint);
        endpoints.remove(endpoint.id());
        outlierDetector.forget(endpoint);
        slowStart.forget(endpoint);
    }
}
