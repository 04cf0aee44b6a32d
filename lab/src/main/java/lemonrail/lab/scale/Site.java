package lemonrail.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The layout of endpoints: regions and zones consist of consecutive endpoints, and services are spread over all of
 * them. If zones don't divide evenly among the regions, one zone spans two regions, which is of no consequence
 * because only the sizes matter here.
 *
 * @param endpoints the number of endpoints, each with a sidecar
 * @param rackSize the number of endpoints in a rack
 */
public record Site(int endpoints, int services, int regions, int zones, int rackSize) {

    private static final int HOSTS_PER_OCTET = 250;

    /** Returns the name of a service's list. */
    public static String listName(int service) {
        return "service-" + service;
    }

    /** The name of the list of all endpoints. */
    public static final String ALL = "all";

    /** Returns the service to which an endpoint belongs. */
    public int serviceOf(int endpoint) {
        return endpoint % services;
    }

    /** Returns the service that the sidecar beside an endpoint calls. */
    public int calledService(int endpoint) {
        return (endpoint + 1) % services;
    }

    /** Returns the region of an endpoint. */
    public int regionOf(int endpoint) {
        return (int) ((long) endpoint * regions / endpoints);
    }

    /** Returns the zone of an endpoint. */
    public int zoneOf(int endpoint) {
        return (int) ((long) endpoint * zones / endpoints);
    }

    /** Returns the number of endpoints in a zone, rounded up. */
    public int zoneSize() {
        return (endpoints + zones - 1) / zones;
    }

    /** Returns the number of endpoints in a region, rounded up. */
    public int regionSize() {
        return (endpoints + regions - 1) / regions;
    }

    /** Returns the names of the zones. */
    public List<String> zoneNames() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < zones; i++) {
            names.add("zone-" + i);
        }
        return names;
    }

    /** Returns an endpoint's initial entry; its address is never called. */
    public EndpointEntry createEntry(int endpoint) {
        return new EndpointEntry(
                String.format(Locale.ROOT, "s-%08x", endpoint * 2654435761L & 0xffffffffL),
                address(endpoint, 0),
                "zone-" + zoneOf(endpoint),
                endpoint / rackSize,
                EndpointEntry.State.IN_SERVICE,
                0,
                1);
    }

    /** Returns the entry of the process that replaces an endpoint in a release. */
    public EndpointEntry createSuccessor(int endpoint, long startedMs) {
        EndpointEntry entry = createEntry(endpoint);
        return new EndpointEntry(
                entry.id() + "-" + startedMs % 100_000,
                address(endpoint, 1),
                entry.zone(),
                entry.rack(),
                EndpointEntry.State.IN_SERVICE,
                startedMs,
                1);
    }

    private static String address(int endpoint, int generation) {
        return "127." + (100 + generation) + "." + endpoint / HOSTS_PER_OCTET + "." + (1 + endpoint % HOSTS_PER_OCTET)
                + ":9000";
    }

    /** Returns the initial entries of all endpoints. */
    public List<EndpointEntry> createEntries() {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            entries.add(createEntry(i));
        }
        return entries;
    }
}
