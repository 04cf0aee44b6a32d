package lemonrail.http1;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemonrail.core.balancer.EndpointState;
import lemonrail.discovery.EndpointList;

/**
 * The endpoints of the endpoint list, by id and by address. An address is assigned to only one endpoint at a time, the
 * one whose process started last. Confined to the pool's event loop.
 */
final class EndpointDirectory {

    private final Map<String, EndpointConnections> byId = new HashMap<>();
    private final Map<InetSocketAddress, EndpointConnections> byAddress = new HashMap<>();

    int size() {
        return byId.size();
    }

    /** Returns the connections of this endpoint, or null if the endpoint is unknown. */
    EndpointConnections find(String endpointId) {
        return byId.get(endpointId);
    }

    /** Closes the idle connections to all endpoints. */
    void closeIdleConnections() {
        byId.values().forEach(EndpointConnections::closeIdle);
    }

    /**
     * Applies a snapshot or a delta of the endpoint list, and invalidates connections to endpoints that have been
     * removed or restarted, or have another address.
     */
    void update(EndpointList list) {
        if (list.full()) {
            removeUnlisted(list);
        }
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().state() == EndpointState.GONE) {
                remove(entry.endpoint().id());
            } else {
                put(entry);
            }
        }
    }

    private void removeUnlisted(EndpointList snapshot) {
        Set<String> listed = new HashSet<>();
        snapshot.entries().forEach(entry -> listed.add(entry.endpoint().id()));
        for (String endpointId : List.copyOf(byId.keySet())) {
            if (!listed.contains(endpointId)) {
                remove(endpointId);
            }
        }
    }

    private void put(EndpointList.Entry entry) {
        EndpointConnections endpoint =
                byId.computeIfAbsent(entry.endpoint().id(), unknownId -> new EndpointConnections());
        endpoint.updateProcess(entry.address(), entry.endpoint().startedMs());
        assignAddress(endpoint, entry.address());
    }

    private void remove(String endpointId) {
        EndpointConnections removed = byId.remove(endpointId);
        if (removed != null) {
            removed.invalidate();
            releaseAddress(removed);
        }
    }

    /** Assigns the address to this endpoint, unless it is assigned to an endpoint whose process started later. */
    private void assignAddress(EndpointConnections endpoint, InetSocketAddress address) {
        releaseAddress(endpoint);
        EndpointConnections holder = byAddress.get(address);
        if (holder != null && endpoint.startedMs() < holder.startedMs()) {
            endpoint.invalidate();
            return;
        }
        if (holder != null) {
            holder.invalidate();
            releaseAddress(holder);
        }
        endpoint.setAddress(address);
        byAddress.put(address, endpoint);
    }

    private void releaseAddress(EndpointConnections endpoint) {
        byAddress.remove(endpoint.address(), endpoint);
        endpoint.clearAddress();
    }
}
