package lemonrail.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import lemonrail.core.balancer.TenantQuota;
import lemonrail.discovery.EndpointList;

/**
 * Reads an operators' file into the configuration of an edge. It reads all tables before it builds the
 * configuration, so that every problem of the file is reported.
 */
final class EdgeConfigReader {

    /** Effectively infinite, because the balancer is notified of endpoint lists and does not poll for them. */
    private static final double NO_POLL_INTERVAL_MS = 1e12;

    private final TomlDocument document;
    private final Map<String, String> environment;
    private final AddressRegistry addresses = new AddressRegistry();

    /** The tables from which the balancer settings are built. */
    private record BalancerTables(
            FleetTable fleet,
            List<RequestClass> classes,
            List<TenantQuota> tenants,
            LimitsTable limits,
            BalancingTable balancing,
            SlowStartTable slowStart,
            Double drainGraceMs) {}

    /** The table {@code [cold-start]}; invalid values are null. */
    private record SlowStartTable(
            Double initialFraction, Double durationMs, Double overloadMultiple, Double overloadWindowMs) {}

    EdgeConfigReader(TomlDocument document, Map<String, String> environment) {
        this.document = document;
        this.environment = environment;
    }

    /**
     * Reads the configuration.
     *
     * @throws ConfigException if the file is invalid; lists all problems
     */
    EdgeConfig read() {
        TableReader root = document.root(Schema.ROOT, Schema.TABLES);
        String name = root.get(Schema.NAME);
        String stateDir = root.get(Schema.STATE_DIR);
        Integer seed = root.get(Schema.SEED);
        List<InetSocketAddress> listeners = readListeners();
        InetSocketAddress admin = addresses.read(document.table(Schema.ADMIN), Schema.ADMIN_ADDRESS);
        DiscoveryTable discovery = DiscoveryTable.read(document);
        checkNoPeers();
        FleetTable fleet = FleetTable.read(document);
        List<EndpointList.Entry> endpoints = readEndpoints(fleet);
        checkEndpointSource(discovery);
        BalancerTables tables = readBalancerTables(fleet);
        LoggingTable logging = LoggingTable.read(document);
        document.throwIfInvalid();
        return new EdgeConfig(
                name,
                listeners,
                admin,
                discovery.address(),
                discovery.waitMs(),
                stateDir == null ? PlatformFile.stateFolder(environment) : Path.of(stateDir),
                seed == null ? ThreadLocalRandom.current().nextLong() : seed,
                tables.limits().memoryMb(),
                tables.limits().descriptors(),
                tables.limits().idleTimeoutMs(),
                new EndpointList.Names(fleet.zones(), List.of()),
                new EndpointList(0, true, endpoints),
                buildBalancerSettings(tables),
                logging.toSettings(),
                discovery.toSubscription(name));
    }

    private List<InetSocketAddress> readListeners() {
        List<InetSocketAddress> listeners = new ArrayList<>();
        for (TableReader table : document.tables(Schema.LISTENERS)) {
            listeners.add(addresses.read(table, Schema.LISTENER_ADDRESS));
            table.get(Schema.LISTENER_PROTOCOL);
        }
        if (!document.has(Schema.LISTENERS)) {
            document.addProblem("listeners", null, "is missing; there must be at least one [[listeners]]");
        }
        return listeners;
    }

    private void checkNoPeers() {
        if (document.has(ControlSchema.PEERS)) {
            document.addProblem(ControlSchema.PEERS.name(), null, "is allowed only in a control node's file");
        }
    }

    private List<EndpointList.Entry> readEndpoints(FleetTable fleet) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (TableReader table : document.tables(Schema.ENDPOINTS)) {
            readEndpoint(table, fleet, ids, entries);
        }
        return entries;
    }

    private void checkEndpointSource(DiscoveryTable discovery) {
        boolean hasFixedEndpoints = document.has(Schema.ENDPOINTS);
        boolean hasDiscovery = discovery.address() != null || document.has(Schema.DISCOVERY);
        if (!hasFixedEndpoints && !hasDiscovery) {
            document.addProblem(
                    "endpoints",
                    null,
                    "is missing; there must be [[endpoints]], discovery.address or discovery.addresses");
        }
    }

    private void readEndpoint(TableReader table, FleetTable fleet, Set<String> ids, List<EndpointList.Entry> entries) {
        String id = table.getUnique(Schema.ENDPOINT_ID, ids);
        InetSocketAddress address = addresses.read(table, Schema.ENDPOINT_ADDRESS);
        String zone = table.get(Schema.ENDPOINT_ZONE);
        fleet.checkZone(table, Schema.ENDPOINT_ZONE, zone);
        Integer rack = table.get(Schema.ENDPOINT_RACK);
        Double weight = table.get(Schema.ENDPOINT_WEIGHT);
        EndpointState state = table.get(Schema.ENDPOINT_STATE);
        if (!document.hasProblems()) {
            Endpoint endpoint = new Endpoint(id, fleet.zoneIndex(zone), 0, rack, 0, state, weight);
            entries.add(new EndpointList.Entry(endpoint, address));
        }
    }

    private BalancerTables readBalancerTables(FleetTable fleet) {
        List<RequestClass> classes = RequestClassReader.read(document);
        return new BalancerTables(
                fleet,
                classes,
                readTenants(),
                LimitsTable.read(document, classes),
                BalancingTable.read(document),
                readSlowStart(),
                document.table(Schema.DRAIN).get(Schema.DRAIN_GRACE));
    }

    private List<TenantQuota> readTenants() {
        List<TenantQuota> tenants = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TableReader table : document.tables(Schema.TENANTS)) {
            String name = table.getUnique(Schema.TENANT_NAME, names);
            Double requestsPerSecond = table.get(Schema.TENANT_RATE);
            if (!document.hasProblems()) {
                tenants.add(new TenantQuota(name, requestsPerSecond, 0));
            }
        }
        return tenants;
    }

    private SlowStartTable readSlowStart() {
        TableReader table = document.table(Schema.SLOW_START);
        return new SlowStartTable(
                table.get(Schema.SLOW_START_FRACTION),
                table.get(Schema.SLOW_START_DURATION),
                table.get(Schema.OVERLOAD_MULTIPLE),
                table.get(Schema.OVERLOAD_WINDOW));
    }

    private static BalancerSettings buildBalancerSettings(BalancerTables tables) {
        FleetTable fleet = tables.fleet();
        BalancingTable balancing = tables.balancing();
        SlowStartTable slowStart = tables.slowStart();
        boolean pollsEndpoints = false;
        return new BalancerSettings(
                balancing.balancers(),
                balancing.index(),
                fleet.zoneIndex(fleet.ownZone()),
                balancing.tier(),
                pollsEndpoints,
                fleet.weighted(),
                balancing.overQuotaWeight(),
                balancing.crossZoneCost(),
                tables.classes(),
                tables.tenants(),
                tables.limits().toAttemptLimits(),
                new SlowStartSettings(
                        slowStart.initialFraction(),
                        slowStart.durationMs(),
                        slowStart.overloadMultiple(),
                        slowStart.overloadWindowMs()),
                new DrainSettings(tables.drainGraceMs()),
                NO_POLL_INTERVAL_MS);
    }
}
