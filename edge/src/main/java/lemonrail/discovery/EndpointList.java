package lemonrail.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import lemonrail.core.balancer.Endpoint;

/**
 * A full snapshot of the endpoints of a service, or a delta.
 *
 * @param version the version to resume the watch from
 * @param full whether it is a full snapshot
 * @param entries the endpoints listed or changed, removed ones included
 */
public record EndpointList(long version, boolean full, List<Entry> entries) {

    /**
     * An endpoint and its address.
     *
     * @param address where it listens, null for a removed endpoint
     */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    /** The names of zones and kinds; settings and endpoints refer to them by index. */
    public record Names(List<String> zones, List<String> kinds) {}

    /** Returns the endpoints without their addresses. */
    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }
}
