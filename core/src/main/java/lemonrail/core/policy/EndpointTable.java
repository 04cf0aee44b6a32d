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

/** The known endpoints. Applies updates of the endpoint list, and notifies the policy classes of changes. */
final class EndpointTable {

    /**
     * The maximum number of endpoints that are placed again per change of the list. While changes to a longer list
     * follow each other quickly, it is placed once for several of them, because each placement costs time in proportion
     * to the complete list.
     */
    private static final int MAX_ENDPOINTS_PLACED_PER_CHANGE = 32;

    private final SlotRanking ranking;
    private final SlowStart slowStart;
    private final SlotPool pool;
    private final OutlierDetector outlierDetector;
    private final double placementIntervalMs;
    private final Map<String, EndpointRecord> endpoints = new LinkedHashMap<>();
    private double nextPlacementMs;

    EndpointTable(
            SlotRanking ranking,
            SlowStart slowStart,
            SlotPool pool,
            OutlierDetector outlierDetector,
            double placementIntervalMs) {
        this.ranking = ranking;
        this.slowStart = slowStart;
        this.pool = pool;
        this.outlierDetector = outlierDetector;
        this.placementIntervalMs = placementIntervalMs;
    }

    /** Returns all known endpoints, including those that are gone but still have attempts in flight. */
    Collection<EndpointRecord> all() {
        return Collections.unmodifiableCollection(endpoints.values());
    }

    /** Applies a full list or a delta. */
    void onUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> entries) {
        if (kind != EndpointUpdateKind.DELTA) {
            removeMissing(nowMs, entries);
        }
        entries.forEach(entry -> update(nowMs, entry));
        boolean isPlacementCheap =
                ranking.pendingPlaceChanges() * MAX_ENDPOINTS_PLACED_PER_CHANGE >= ranking.readyEndpoints();
        if (nowMs >= nextPlacementMs || isPlacementCheap) {
            assignPlaces(nowMs);
        }
    }

    private void removeMissing(double nowMs, List<Endpoint> entries) {
        Set<String> listedIds = entries.stream().map(Endpoint::id).collect(Collectors.toSet());
        List.copyOf(endpoints.values()).stream()
                .filter(endpoint -> !listedIds.contains(endpoint.id()))
                .forEach(endpoint -> update(nowMs, endpoint.listEntry().withState(EndpointState.GONE)));
    }

    private void update(double nowMs, Endpoint entry) {
        EndpointRecord endpoint = endpoints.get(entry.id());
        if (endpoint == null && entry.state() == EndpointState.GONE) {
            return;
        }
        if (endpoint != null && entry.startedMs() != endpoint.listEntry().startedMs()) {
            // A new process: neither the previous process's statistics nor the results of its attempts apply to it.
            pool.discardAll(endpoint);
            remove(nowMs, endpoint);
            endpoint = null;
        }
        if (endpoint == null) {
            endpoint = new EndpointRecord(entry);
            endpoints.put(entry.id(), endpoint);
        }
        applyEntry(nowMs, endpoint, entry);
        removeIfGone(nowMs, endpoint);
    }

    private void applyEntry(double nowMs, EndpointRecord endpoint, Endpoint entry) {
        boolean isReady = entry.state() == EndpointState.READY;
        if (isReady && endpoint.listEntry().state() != EndpointState.READY) {
            // Back from draining, for example after maintenance: its earlier results no longer apply.
            outlierDetector.reset(endpoint);
        }
        ranking.onEntryUpdated(endpoint, entry);
        slowStart.onEntryUpdated(nowMs, endpoint);
        if (!isReady) {
            pool.discardAll(endpoint);
        }
        pool.updateRankCost(nowMs, endpoint);
    }

    /** Updates the places of ready endpoints and the ranks of slots, if changes of the list affect any of them. */
    void assignPlaces(double nowMs) {
        if (ranking.pendingPlaceChanges() > 0) {
            ranking.assignPlaces();
            pool.onPlacesAssigned(nowMs);
            nextPlacementMs = nowMs + placementIntervalMs;
        }
    }

    /** Removes an endpoint that is gone from the list once it has no attempt in flight. */
    void removeIfGone(double nowMs, EndpointRecord endpoint) {
        if (endpoint.listEntry().state() == EndpointState.GONE && endpoint.inFlight() == 0) {
            remove(nowMs, endpoint);
        }
    }

    /** Removes the endpoint and its statistics. Results of its remaining attempts then only release their slots. */
    private void remove(double nowMs, EndpointRecord endpoint) {
        ranking.onEntryUpdated(endpoint, endpoint.listEntry().withState(EndpointState.GONE));
        outlierDetector.reset(endpoint);
        endpoint.markRemoved();
        pool.updateCandidate(nowMs, endpoint);
        endpoints.remove(endpoint.id());
        outlierDetector.remove(endpoint);
        slowStart.remove(endpoint);
    }
}
