package lemonrail.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Where endpoints are: dealt out evenly over zones and regions in their order, services across all of them.
 * Where zones don't divide evenly into regions, one lies across the middle: the sizes are what counts here.
 *
 * @param endpoints each with its sidecar
 * @param rack endpoints of a rack
 */
public record Site(int endpoints, int services, int regions, int zones, int rack) {

    private static final int OCTET = 250;

    /** The name of a service's list. */
    public static String list(int service) {
        return "service-" + service;
    }

    /** The list of all endpoints. */
    public static final String ALL = "all";

    /** The service that an endpoint is of. */
    public int service(int endpoint) {
        return endpoint % services;
    }

    /** The service that the sidecar beside an endpoint calls. */
    public int called(int endpoint) {
        return (endpoint + 1) % services;
    }

    /** The region that an endpoint is in. */
    public int region(int endpoint) {
        return (int) ((long) endpoint * regions / endpoints);
    }

    /** The zone that an endpoint is in. */
    public int zone(int endpoint) {
        return (int) ((long) endpoint * zones / endpoints);
    }

    /** How many endpoints a zone has. */
    public int zoneSize() {
        return (endpoints + zones - 1) / zones;
    }

    /** How many endpoints a region has. */
    public int regionSize() {
        return (endpoints + regions - 1) / regions;
    }

    /** The names of the zones. */
    public List<String> zoneNames() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < zones; i++) {
            names.add("zone-" + i);
        }
        return names;
    }

    /** What control says of an endpoint in the beginning; no address is ever called. */
    public EndpointEntry line(int endpoint) {
        return new EndpointEntry(
                String.format(Locale.ROOT, "s-%08x", endpoint * 2654435761L & 0xffffffffL),
                address(endpoint, 0),
                "zone-" + zone(endpoint),
                endpoint / rack,
                EndpointEntry.State.IN_SERVICE,
                0,
                1);
    }

    /** The process that takes an endpoint's place in a release. */
    public EndpointEntry successor(int endpoint, long startedMs) {
        EndpointEntry line = line(endpoint);
        return new EndpointEntry(
                line.id() + "-" + startedMs % 100_000,
                address(endpoint, 1),
                line.zone(),
                line.rack(),
                EndpointEntry.State.IN_SERVICE,
                startedMs,
                1);
    }

    private static String address(int endpoint, int generation) {
        return "127." + (100 + generation) + "." + endpoint / OCTET + "." + (1 + endpoint % OCTET) + ":9000";
    }

    /** All endpoints as they are in the beginning. */
    public List<EndpointEntry> lines() {
        List<EndpointEntry> lines = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            lines.add(line(i));
        }
        return lines;
    }
}
