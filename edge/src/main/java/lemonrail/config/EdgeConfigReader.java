package lemonrail.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import lemonrail.core.balancer.TenantQuota;
import lemonrail.discovery.ControlClient;
import lemonrail.discovery.EndpointList;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSettings;
import lemonrail.logging.Severity;

/** From an operators' file to what an edge is told; goes on where something is wrong. */
final class EdgeConfigReader {

    private static final double NEVER_MS = 1e12;

    private final TomlDocument document;
    private final Map<String, String> environment;
    /** Addresses that are taken, and by which key. */
    private final Map<InetSocketAddress, String> taken = new HashMap<>();

    EdgeConfigReader(TomlDocument document, Map<String, String> environment) {
        this.document = document;
        this.environment = environment;
    }

    /** The configuration, or null where anything is wrong, which the report has heard of. */
    EdgeConfig read() {
        TableReader top = document.top(Schema.ROOT, Schema.TABLES);
        String name = top.get(Schema.NAME);
        String folder = top.get(Schema.STATE_DIR);
        Integer seed = top.get(Schema.SEED);
        List<InetSocketAddress> listeners = listeners();
        InetSocketAddress admin = admin();
        TableReader list = document.one(Schema.LIST);
        InetSocketAddress discovery = list.get(Schema.DISCOVERY);
        Double discoveryWaitMs = list.get(Schema.DISCOVERY_WAIT);
        ControlClient.Subscription control = control(list, name, discoveryWaitMs);
        if (document.has(Schema.PEERS)) {
            document.wrong(Schema.PEERS.name(), null, "goes into a control node's file");
        }
        TableReader fleet = document.one(Schema.FLEET);
        List<String> zones = fleet.get(Schema.ZONES);
        int zone = zone(fleet, zones);
        Boolean weighted = fleet.get(Schema.WEIGHTED);
        List<EndpointList.Entry> endpoints = endpoints(zones);
        if (discovery == null && !document.has(Schema.ENDPOINTS) && !document.has(Schema.LIST)) {
            document.wrong("endpoints", null, "is missing; there must be [[endpoints]] or discovery.address");
        }
        List<RequestClass> classes = classes();
        List<TenantQuota> tenants = tenants();
        TableReader limits = document.one(Schema.LIMITS);
        Long memory = limits.get(Schema.MEMORY);
        Integer descriptors = limits.get(Schema.DESCRIPTORS);
        Integer attempts = limits.get(Schema.ATTEMPTS);
        Double connectMs = limits.get(Schema.CONNECT_TIMEOUT);
        Double idleMs = limits.get(Schema.IDLE_TIMEOUT);
        Double retryAfterMs = limits.get(Schema.RETRY_AFTER);
        if (connectMs != null && classes.stream().anyMatch(kind -> connectMs > kind.deadlineMs())) {
            limits.contradicts(Schema.CONNECT_TIMEOUT, "is longer than the deadline of a class");
        }
        TableReader balancing = document.one(Schema.BALANCING);
        Integer balancers = balancing.get(Schema.BALANCERS);
        Integer number = balancing.get(Schema.NUMBER);
        if (balancers != null && number != null && number >= balancers) {
            balancing.contradicts(Schema.NUMBER, "must be below balancing.balancers, which is " + balancers);
        }
        Integer tier = balancing.get(Schema.TIER);
        Double overShare = balancing.get(Schema.OVER_SHARE);
        Double crossZone = balancing.get(Schema.CROSS_ZONE);
        TableReader cold = document.one(Schema.COLD_START);
        Double coldShare = cold.get(Schema.COLD_SHARE);
        Double coldMs = cold.get(Schema.COLD_TIME);
        Double tip = cold.get(Schema.TIP);
        Double tipMs = cold.get(Schema.TIP_WINDOW);
        Double graceMs = document.one(Schema.DRAIN).get(Schema.GRACE);
        LogSettings logging = logging();
        if (document.isWrong()) {
            return null;
        }
        BalancerSettings settings = new BalancerSettings(
                balancers,
                number,
                zone,
                tier,
                false,
                weighted,
                overShare,
                crossZone,
                classes,
                tenants,
                new AttemptLimits(attempts, false, true, retryAfterMs, connectMs),
                new SlowStartSettings(coldShare, coldMs, tip, tipMs),
                new DrainSettings(graceMs),
                NEVER_MS);
        return new EdgeConfig(
                name,
                listeners,
                admin,
                discovery,
                discoveryWaitMs,
                folder == null ? PlatformFile.folder(environment) : Path.of(folder),
                seed == null ? ThreadLocalRandom.current().nextLong() : seed,
                memory / (double) (1 << 20),
                descriptors,
                idleMs,
                new EndpointList.Names(zones, List.of()),
                new EndpointList(0, true, endpoints),
                settings,
                logging,
                control);
    }

    /** The control nodes to watch at, or null where there are none. */
    private static ControlClient.Subscription control(TableReader list, String name, Double waitMs) {
        List<InetSocketAddress> nodes = list.get(Schema.NODES);
        List<InetSocketAddress> fallbacks = list.get(Schema.FALLBACKS);
        List<String> services = list.get(Schema.SERVICES);
        String settings = list.get(Schema.DOCUMENT);
        if (nodes == null) {
            for (ConfigKey<?> key : List.of(Schema.FALLBACKS, Schema.SERVICES, Schema.DOCUMENT)) {
                if (list.has(key)) {
                    list.contradicts(key, "goes with discovery.addresses only");
                }
            }
            return null;
        }
        if (list.has(Schema.DISCOVERY)) {
            list.contradicts(Schema.NODES, "takes the place of discovery.address: one of the two must go");
        }
        return new ControlClient.Subscription(
                name,
                nodes,
                fallbacks == null ? List.of() : fallbacks,
                services == null ? List.of() : services,
                settings,
                waitMs);
    }

    private void takeAddress(TableReader section, ConfigKey<InetSocketAddress> key, InetSocketAddress address) {
        if (address != null && address.getPort() != 0) {
            String other = taken.putIfAbsent(address, section.path(key.name()));
            if (other != null) {
                section.contradicts(key, "is taken by " + other);
            }
        }
    }

    private List<InetSocketAddress> listeners() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (TableReader section : document.all(Schema.LISTENERS)) {
            InetSocketAddress address = section.get(Schema.LISTENER);
            section.get(Schema.PROTOCOL);
            takeAddress(section, Schema.LISTENER, address);
            addresses.add(address);
        }
        if (!document.has(Schema.LISTENERS)) {
            document.wrong("listeners", null, "is missing; there must be at least one [[listeners]]");
        }
        return addresses;
    }

    private InetSocketAddress admin() {
        TableReader section = document.one(Schema.ADMIN_TABLE);
        InetSocketAddress address = section.get(Schema.ADMIN);
        takeAddress(section, Schema.ADMIN, address);
        return address;
    }

    private static int zone(TableReader fleet, List<String> zones) {
        String own = fleet.get(Schema.OWN_ZONE);
        if (own == null || zones == null) {
            return 0;
        }
        if (!zones.contains(own)) {
            fleet.contradicts(Schema.OWN_ZONE, "is none of fleet.zones, which are " + zones);
        }
        return zones.indexOf(own);
    }

    /** Says so where a name comes twice; the first one holds. */
    private static void unique(TableReader section, ConfigKey<String> key, String name, Set<String> names) {
        if (name != null && !names.add(name)) {
            section.contradicts(key, "is there twice; each must be there once");
        }
    }

    private List<EndpointList.Entry> endpoints(List<String> zones) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (TableReader section : document.all(Schema.ENDPOINTS)) {
            String id = section.get(Schema.ENDPOINT_ID);
            unique(section, Schema.ENDPOINT_ID, id, ids);
            InetSocketAddress address = section.get(Schema.ENDPOINT);
            takeAddress(section, Schema.ENDPOINT, address);
            String zone = section.get(Schema.ENDPOINT_ZONE);
            if (zone != null && zones != null && !zones.contains(zone)) {
                section.contradicts(Schema.ENDPOINT_ZONE, "is none of fleet.zones, which are " + zones);
            }
            Integer rack = section.get(Schema.ENDPOINT_RACK);
            Double weight = section.get(Schema.ENDPOINT_WEIGHT);
            var state = section.get(Schema.ENDPOINT_STATE);
            if (!document.isWrong()) {
                entries.add(new EndpointList.Entry(
                        new Endpoint(id, zone == null ? 0 : zones.indexOf(zone), 0, rack, 0, state, weight), address));
            }
        }
        return entries;
    }

    private List<RequestClass> classes() {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TableReader section : document.all(Schema.CLASSES)) {
            String name = section.get(Schema.CLASS_NAME);
            unique(section, Schema.CLASS_NAME, name, names);
            Idempotency effect = section.get(Schema.EFFECT);
            Double aim = section.get(Schema.AIM);
            Double deadline = section.get(Schema.DEADLINE);
            if (aim != null && deadline != null && aim > deadline) {
                section.contradicts(Schema.AIM, "is above the deadline of this class");
            }
            Double worth = section.get(Schema.WORTH);
            Double lateResponseWeight = section.get(Schema.LATE_WORTH);
            if (worth != null && lateResponseWeight != null && lateResponseWeight > worth) {
                section.contradicts(Schema.LATE_WORTH, "is above the worth of an answer in time");
            }
            DeduplicationScope scope = section.get(Schema.KEY_SCOPE);
            Double window = section.get(Schema.KEY_WINDOW);
            if (effect == Idempotency.KEYED && window == null && !section.has(Schema.KEY_WINDOW)) {
                section.contradicts(Schema.KEY_WINDOW, "is missing; a keyed class must have it, as in \"10s\"");
            } else if (effect != null && effect != Idempotency.KEYED && window != null) {
                section.contradicts(Schema.KEY_WINDOW, "goes with effect = \"keyed\" only");
            }
            if (!document.isWrong()) {
                classes.add(new RequestClass(
                        name,
                        aim,
                        deadline,
                        worth,
                        lateResponseWeight,
                        effect,
                        scope,
                        window == null ? 0 : window,
                        false));
            }
        }
        if (!document.has(Schema.CLASSES)) {
            document.wrong("classes", null, "is missing; there must be at least one [[classes]]");
        }
        return classes;
    }

    private List<TenantQuota> tenants() {
        List<TenantQuota> tenants = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TableReader section : document.all(Schema.TENANTS)) {
            String name = section.get(Schema.TENANT);
            unique(section, Schema.TENANT, name, names);
            Double rate = section.get(Schema.RATE);
            if (!document.isWrong()) {
                tenants.add(new TenantQuota(name, rate, 0));
            }
        }
        return tenants;
    }

    private LogSettings logging() {
        return logging(document);
    }

    /** The log, also of a control node; null where anything is wrong so far. */
    static LogSettings logging(TomlDocument document) {
        TableReader section = document.one(Schema.LOGGING);
        LogSettings.Format format = section.get(Schema.FORMAT);
        Severity level = section.get(Schema.LEVEL);
        Map<String, Severity> some = section.get(Schema.LEVELS);
        Integer waiting = section.get(Schema.WAITING);
        if (document.isWrong()) {
            return null;
        }
        Map<String, Severity> levels = new LinkedHashMap<>();
        levels.put(EventLog.ROOT, level);
        levels.putAll(some);
        return new LogSettings(format, levels, waiting);
    }
}
