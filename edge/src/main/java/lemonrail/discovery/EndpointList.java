package lemonrail.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import lemonrail.core.balancer.Endpoint;

/**
 * A full snapshot of an endpoint list, or a delta to the previous list.
 *
 * @param version the version to resume the watch from
 * @param full whether this is a full snapshot
 * @param entries all endpoints in a full snapshot; in a delta the changed and removed ones
 */
public record EndpointList(long version, boolean full, List<Entry> entries) {

    /**
     * An endpoint and its address.
     *
     * @param address the address that the endpoint listens on; null for a removed endpoint
     */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    /** The names of zones and hardware kinds; settings and endpoints refer to them by index. */
    public record Names(List<String> zones, List<String> kinds) {}

    /** Returns the endpoints without their addresses. */
    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }
}
