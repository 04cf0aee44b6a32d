package lemonrail.config;

import com.fasterxml.jackson.databind.JsonNode;
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
import lemonrail.core.Contract.Effect;
import lemonrail.core.Contract.Group;
import lemonrail.core.Contract.Limits;
import lemonrail.core.Contract.RequestClass;
import lemonrail.core.Contract.Rules;
import lemonrail.core.Contract.Server;
import lemonrail.core.Contract.Settings;
import lemonrail.core.Contract.Tenant;
import lemonrail.discovery.ServerList;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSettings;
import lemonrail.logging.Severity;

/** From the tree of an operators' file to what an edge is told; goes on where something is wrong. */
final class TomlReading {

    private static final double NEVER_MS = 1e12;

    private final JsonNode root;
    private final Map<String, String> environment;
    private final Section.Report report;
    private boolean wrong;
    /** Addresses that are taken, and by which key. */
    private final Map<InetSocketAddress, String> taken = new HashMap<>();

    TomlReading(JsonNode root, Map<String, String> environment, Section.Report report) {
        this.root = root;
        this.environment = environment;
        this.report = new Section.Report() {
            @Override
            public void wrong(String path, String value, String allowed) {
                wrong = true;
                report.wrong(path, value, allowed);
            }

            @Override
            public void inForce(String path, String text, Section.Origin origin, boolean live) {
                report.inForce(path, text, origin, live);
            }
        };
    }

    /** The configuration, or null where anything is wrong, which the report has heard of. */
    EdgeConfig read() {
        Section top = new Section(Schema.ROOT, 0, root, environment, report);
        top.checkNames(Schema.TABLES.stream().map(Table::name).filter(name -> !name.isEmpty()).toList());
        String name = top.get(Schema.NAME);
        String folder = top.get(Schema.STATE_DIR);
        Integer seed = top.get(Schema.SEED);
        List<InetSocketAddress> listeners = listeners();
        InetSocketAddress admin = admin();
        InetSocketAddress discovery = one(Schema.LIST).get(Schema.DISCOVERY);
        Section fleet = one(Schema.FLEET);
        List<String> zones = fleet.get(Schema.ZONES);
        int ownZone = ownZone(fleet, zones);
        Boolean weighted = fleet.get(Schema.WEIGHTED);
        List<ServerList.Entry> endpoints = endpoints(zones);
        if (discovery == null && !root.has(Schema.ENDPOINTS.name()) && !root.has(Schema.LIST.name())) {
            report.wrong("endpoints", null, "is missing; there must be [[endpoints]] or discovery.address");
        }
        List<RequestClass> classes = classes();
        List<Tenant> tenants = tenants();
        Section limits = one(Schema.LIMITS);
        Long memory = limits.get(Schema.MEMORY);
        Integer descriptors = limits.get(Schema.DESCRIPTORS);
        Integer attempts = limits.get(Schema.ATTEMPTS);
        Double connectMs = limits.get(Schema.CONNECT_TIMEOUT);
        Double idleMs = limits.get(Schema.IDLE_TIMEOUT);
        Double retryAfterMs = limits.get(Schema.RETRY_AFTER);
        if (connectMs != null && classes.stream().anyMatch(kind -> connectMs > kind.deadlineMs())) {
            limits.contradicts(Schema.CONNECT_TIMEOUT, "is longer than the deadline of a class");
        }
        Section balancing = one(Schema.BALANCING);
        Integer balancers = balancing.get(Schema.BALANCERS);
        Integer number = balancing.get(Schema.NUMBER);
        if (balancers != null && number != null && number >= balancers) {
            balancing.contradicts(Schema.NUMBER, "must be below balancing.balancers, which is " + balancers);
        }
        Integer tier = balancing.get(Schema.TIER);
        Double overShare = balancing.get(Schema.OVER_SHARE);
        Double crossZone = balancing.get(Schema.CROSS_ZONE);
        Section cold = one(Schema.COLD_START);
        Double coldShare = cold.get(Schema.COLD_SHARE);
        Double coldMs = cold.get(Schema.COLD_TIME);
        Double tip = cold.get(Schema.TIP);
        Double tipMs = cold.get(Schema.TIP_WINDOW);
        Double graceMs = one(Schema.DRAIN).get(Schema.GRACE);
        LogSettings logging = logging();
        if (wrong) {
            return null;
        }
        Settings settings = new Settings(balancers, number, ownZone, tier, false, weighted, overShare,
            crossZone, classes, tenants, new Limits(attempts, false, true, retryAfterMs, connectMs),
            new Rules(coldShare, coldMs, tip, tipMs, graceMs, NEVER_MS));
        return new EdgeConfig(name, listeners, admin, discovery,
            folder == null ? PlatformFile.folder(environment) : Path.of(folder),
            seed == null ? ThreadLocalRandom.current().nextLong() : seed, memory / (double) (1 << 20),
            descriptors, idleMs, new ServerList.Names(zones, List.of()),
            new ServerList(0, true, endpoints), settings, logging);
    }

    private Section one(Table table) {
        JsonNode fields = root.get(table.name());
        if (fields != null && !fields.isObject()) {
            report.wrong(table.name(), fields.toString(), "must be a table: [" + table.name() + "]");
            fields = null;
        }
        Section section = new Section(table, 0, fields == null ? TomlFile.none() : fields, environment,
            report);
        section.checkNames(List.of());
        return section;
    }

    private List<Section> all(Table table) {
        JsonNode elements = root.get(table.name());
        List<Section> sections = new ArrayList<>();
        if (elements == null) {
            return sections;
        }
        boolean tables = elements.isArray();
        for (JsonNode element : elements) {
            tables &= element.isObject();
        }
        if (!tables || elements.size() > table.most()) {
            report.wrong(table.name(), tables ? elements.size() + " tables" : elements.toString(),
                "must be 1 to " + table.most() + " tables: [[" + table.name() + "]]");
            return sections;
        }
        for (JsonNode element : elements) {
            Section section = new Section(table, sections.size(), element, environment, report);
            section.checkNames(List.of());
            sections.add(section);
        }
        return sections;
    }

    private void takeAddress(Section section, Key<InetSocketAddress> key, InetSocketAddress address) {
        if (address != null && address.getPort() != 0) {
            String other = taken.putIfAbsent(address, section.path(key.name()));
            if (other != null) {
                section.contradicts(key, "is taken by " + other);
            }
        }
    }

    private List<InetSocketAddress> listeners() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Section section : all(Schema.LISTENERS)) {
            InetSocketAddress address = section.get(Schema.LISTENER);
            section.get(Schema.PROTOCOL);
            takeAddress(section, Schema.LISTENER, address);
            addresses.add(address);
        }
        if (root.get(Schema.LISTENERS.name()) == null) {
            report.wrong("listeners", null, "is missing; there must be at least one [[listeners]]");
        }
        return addresses;
    }

    private InetSocketAddress admin() {
        Section section = one(Schema.DOOR);
        InetSocketAddress address = section.get(Schema.ADMIN);
        takeAddress(section, Schema.ADMIN, address);
        return address;
    }

    private static int ownZone(Section fleet, List<String> zones) {
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
    private static void unique(Section section, Key<String> key, String name, Set<String> names) {
        if (name != null && !names.add(name)) {
            section.contradicts(key, "is there twice; each must be there once");
        }
    }

    private List<ServerList.Entry> endpoints(List<String> zones) {
        List<ServerList.Entry> entries = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (Section section : all(Schema.ENDPOINTS)) {
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
            if (!wrong) {
                entries.add(new ServerList.Entry(new Server(id,
                    zone == null ? 0 : zones.indexOf(zone), 0, rack, 0, state, weight), address));
            }
        }
        return entries;
    }

    private List<RequestClass> classes() {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : all(Schema.CLASSES)) {
            String name = section.get(Schema.CLASS_NAME);
            unique(section, Schema.CLASS_NAME, name, names);
            Effect effect = section.get(Schema.EFFECT);
            Double aim = section.get(Schema.AIM);
            Double deadline = section.get(Schema.DEADLINE);
            if (aim != null && deadline != null && aim > deadline) {
                section.contradicts(Schema.AIM, "is above the deadline of this class");
            }
            Double worth = section.get(Schema.WORTH);
            Double lateWorth = section.get(Schema.LATE_WORTH);
            if (worth != null && lateWorth != null && lateWorth > worth) {
                section.contradicts(Schema.LATE_WORTH, "is above the worth of an answer in time");
            }
            Group scope = section.get(Schema.KEY_SCOPE);
            Double window = section.get(Schema.KEY_WINDOW);
            if (effect == Effect.BY_KEY && window == null && !section.has(Schema.KEY_WINDOW)) {
                section.contradicts(Schema.KEY_WINDOW,
                    "is missing; a keyed class must have it, as in \"10s\"");
            } else if (effect != null && effect != Effect.BY_KEY && window != null) {
                section.contradicts(Schema.KEY_WINDOW, "goes with effect = \"keyed\" only");
            }
            if (!wrong) {
                classes.add(new RequestClass(name, aim, deadline, worth, lateWorth, effect, scope,
                    window == null ? 0 : window, false));
            }
        }
        if (root.get(Schema.CLASSES.name()) == null) {
            report.wrong("classes", null, "is missing; there must be at least one [[classes]]");
        }
        return classes;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : all(Schema.TENANTS)) {
            String name = section.get(Schema.TENANT);
            unique(section, Schema.TENANT, name, names);
            Double rate = section.get(Schema.RATE);
            if (!wrong) {
                tenants.add(new Tenant(name, rate, 0));
            }
        }
        return tenants;
    }

    private LogSettings logging() {
        Section section = one(Schema.LOGGING);
        LogSettings.Format format = section.get(Schema.FORMAT);
        Severity level = section.get(Schema.LEVEL);
        Map<String, Severity> some = section.get(Schema.LEVELS);
        Integer waiting = section.get(Schema.WAITING);
        if (wrong) {
            return null;
        }
        Map<String, Severity> levels = new LinkedHashMap<>();
        levels.put(EventLog.ROOT, level);
        levels.putAll(some);
        return new LogSettings(format, levels, waiting);
    }
}
