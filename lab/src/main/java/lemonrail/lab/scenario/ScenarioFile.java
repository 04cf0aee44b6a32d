package lemonrail.lab.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import lemonrail.config.ConfigKey;
import lemonrail.config.ConfigTable;
import lemonrail.config.TableReader;
import lemonrail.config.TomlDocument;
import lemonrail.config.ValueType;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.TenantQuota;
import lemonrail.lab.decider.Deciders;
import lemonrail.lab.model.Arrivals;
import lemonrail.lab.model.Clients.Retrying;
import lemonrail.lab.model.EndpointShape.ColdStart;
import lemonrail.lab.model.EndpointShape.Crowding;
import lemonrail.lab.model.EndpointShape.Warming;
import lemonrail.lab.model.Fault;

/** Reads a scenario; all that is wrong with it is named by file, line, key and value. */
public final class ScenarioFile {

    private static final double HOUR_MS = 3_600_000;
    private static final int MOST_TIERS = 3;
    private static final int MANY = 1_000_000;
    private static final String SETTINGS = "[a-z][a-z.-]*=[^ ]+( [a-z][a-z.-]*=[^ ]+)*";

    private static final ConfigKey<String> ABOUT =
            ConfigKey.required("about", ValueType.text(".{1,400}", "a sentence"), "what is played, for reports");
    private static final ConfigKey<String> EDGE = ConfigKey.optional(
            "edge",
            ValueType.text(".{1,4096}", "the path of a file, from the scenario's folder"),
            "\"edge.toml\"",
            "the operators' file that every sidecar starts from");
    private static final ConfigKey<Integer> SEEDS =
            ConfigKey.optional("seeds", ValueType.whole(1, 1000), "1", "how many seeds each variant plays");
    private static final ConfigTable ROOT = new ConfigTable("", 0, "", List.of(ABOUT, EDGE, SEEDS));

    private static final ConfigKey<Double> RATE =
            ConfigKey.required("rate", ValueType.number(0.01, 1e6), "first tries a second, over all clients");
    private static final ConfigKey<Double> LENGTH =
            ConfigKey.required("length", ValueType.duration(100, HOUR_MS), "for how long requests come");
    private static final ConfigKey<Double> WARM_UP =
            ConfigKey.optional("warm-up", ValueType.duration(0, HOUR_MS), "\"2s\"", "before anything counts");
    private static final ConfigKey<Arrivals.Spacing> SPACING = ConfigKey.optional(
            "arrivals",
            ValueType.choice(Arrivals.Spacing.class, "poisson", "even"),
            "\"poisson\"",
            "how requests follow");
    private static final ConfigKey<Boolean> EXPONENTIAL = ConfigKey.optional(
            "exponential-work",
            ValueType.flag(),
            "true",
            "whether work is drawn from an exponential distribution, or is always the mean");
    private static final ConfigKey<Integer> CLIENT_CONNECTIONS =
            ConfigKey.optional("connections", ValueType.whole(1, 20_000), "1000", "that clients may have open at once");
    private static final ConfigTable LOAD =
            new ConfigTable("load", 0, "", List.of(RATE, LENGTH, WARM_UP, SPACING, EXPONENTIAL, CLIENT_CONNECTIONS));

    private static final ConfigKey<Integer> RETRIES =
            ConfigKey.optional("retries", ValueType.whole(0, 100), "1", "tries beyond the first");
    private static final ConfigKey<Double> WAIT =
            ConfigKey.optional("wait", ValueType.duration(0, HOUR_MS), "\"300ms\"", "before the first repeat");
    private static final ConfigKey<Double> GROWTH = ConfigKey.optional(
            "growth", ValueType.number(1, 100), "1.0", "each later wait is so many times the one before");
    private static final ConfigKey<Boolean> HEEDS = ConfigKey.optional(
            "heeds-retry-after", ValueType.flag(), "true", "whether Retry-After goes before the client's own wait");
    private static final ConfigKey<Double> LEAST_PATIENCE = ConfigKey.optional(
            "least-patience", ValueType.number(0.01, 1), "0.7", "part of its deadline that a client waits at least");
    private static final ConfigKey<Double> MOST_PATIENCE = ConfigKey.optional(
            "most-patience", ValueType.number(0.01, 1), "1.0", "part of its deadline that a client waits at most");
    private static final ConfigTable CLIENTS =
            new ConfigTable("clients", 0, "", List.of(RETRIES, WAIT, GROWTH, HEEDS, LEAST_PATIENCE, MOST_PATIENCE));

    private static final ConfigKey<String> CLASS = ConfigKey.required("class", ValueType.word(), "a class of the edge");
    private static final ConfigKey<Double> SHARE =
            ConfigKey.required("share", ValueType.number(0, 1e6), "its part of all, against the other shares");
    private static final ConfigKey<Double> WORK = ConfigKey.required(
            "work", ValueType.duration(0, HOUR_MS), "mean work over all tiers, on a core of speed 1");
    private static final ConfigTable REQUESTS = new ConfigTable("requests", 64, "", List.of(CLASS, SHARE, WORK));

    private static final ConfigKey<String> TENANT =
            ConfigKey.required("name", ValueType.word(), "a tenant of the edge");
    private static final ConfigTable TENANTS = new ConfigTable("tenants", 1000, "", List.of(TENANT, SHARE));

    private static final ConfigKey<String> TIER = ConfigKey.required("name", ValueType.word(), "its name");
    private static final ConfigKey<Integer> COUNT = ConfigKey.required("count", ValueType.whole(1, 5000), "endpoints");
    private static final ConfigKey<Integer> CORES =
            ConfigKey.optional("cores", ValueType.whole(1, 1024), "1", "of each endpoint");
    private static final ConfigKey<Double> LEAST_SPEED =
            ConfigKey.optional("least-speed", ValueType.number(0.001, 1e6), "1.0", "of the slowest endpoint's cores");
    private static final ConfigKey<Double> MOST_SPEED =
            ConfigKey.optional("most-speed", ValueType.number(0.001, 1e6), "1.0", "of the fastest endpoint's cores");
    private static final ConfigKey<Integer> SLOTS =
            ConfigKey.optional("slots", ValueType.whole(1, MANY), "8", "requests in work at once");
    private static final ConfigKey<Integer> ROOM =
            ConfigKey.optional("waiting-room", ValueType.whole(0, MANY), "16", "requests that may wait for a slot");
    private static final ConfigKey<Integer> CONNECTIONS =
            ConfigKey.optional("connections", ValueType.whole(1, MANY), "64", "open at once at an endpoint");
    private static final ConfigKey<Double> HANDSHAKE = ConfigKey.optional(
            "handshake", ValueType.duration(0, 10_000), "\"2ms\"", "work that a new connection costs");
    private static final ConfigKey<Integer> RACKS =
            ConfigKey.optional("racks", ValueType.whole(1, 1000), "2", "among which the endpoints are dealt out");
    private static final ConfigKey<Double> RACK_WINDOW = ConfigKey.optional(
            "rack-window", ValueType.duration(0, HOUR_MS), "\"10s\"", "for how long a rack drops repeats");
    private static final ConfigKey<Double> WORK_SHARE = ConfigKey.optional(
            "work-share", ValueType.number(0, 1), "1.0", "part of a request's work that a call costs here");
    private static final ConfigKey<Double> CALLS = ConfigKey.optional(
            "calls", ValueType.number(0, 16), "0.0", "to the next tier for each request, in the mean");
    private static final ConfigKey<Double> COLD_SHARE = ConfigKey.optional(
            "cold-share",
            ValueType.number(0.01, 1),
            "1.0",
            "of its capacity that an endpoint has just after its start");
    private static final ConfigKey<Double> COLD_TIME =
            ConfigKey.optional("cold-time", ValueType.duration(0, HOUR_MS), "\"0s\"", "until it has all");
    private static final ConfigKey<Warming> WARMS_BY = ConfigKey.optional(
            "warms-by", ValueType.choice(Warming.class, "time", "work"), "\"time\"", "with what it warms");
    private static final ConfigKey<Double> TIP = ConfigKey.optional(
            "tip-multiple",
            ValueType.number(1, 1e6),
            null,
            "times its capacity that a cold endpoint bears; it never falls over if not given");
    private static final ConfigKey<Double> TIP_WINDOW =
            ConfigKey.optional("tip-window", ValueType.duration(1, HOUR_MS), "\"3s\"", "over which that is counted");
    private static final ConfigKey<Double> CROWD = ConfigKey.optional(
            "crowded-at",
            ValueType.number(1, MANY),
            null,
            "requests held a core, beyond which an endpoint turns slow; never if not given");
    private static final ConfigKey<Double> CROWD_AFTER =
            ConfigKey.optional("crowded-after", ValueType.duration(0, HOUR_MS), "\"2s\"", "for how long it must be so");
    private static final ConfigKey<Double> CROWD_FACTOR =
            ConfigKey.optional("crowded-factor", ValueType.number(1, 1000), "2.5", "so many times slower");
    private static final ConfigKey<Double> CROWD_CALM = ConfigKey.optional(
            "crowded-calm", ValueType.duration(0, HOUR_MS), "\"3.5s\"", "of being mostly idle, after which it is over");
    private static final ConfigKey<Double> CROWD_MOST = ConfigKey.optional(
            "crowded-most", ValueType.duration(0, HOUR_MS), "\"25s\"", "after which it is over in any case");
    private static final ConfigKey<Boolean> STARTS_COLD = ConfigKey.optional(
            "starts-cold", ValueType.flag(), "false", "whether all have just started when the run begins");
    private static final ConfigTable TIERS = new ConfigTable(
            "tiers",
            MOST_TIERS,
            "",
            List.of(
                    TIER,
                    COUNT,
                    CORES,
                    LEAST_SPEED,
                    MOST_SPEED,
                    SLOTS,
                    ROOM,
                    CONNECTIONS,
                    HANDSHAKE,
                    RACKS,
                    RACK_WINDOW,
                    WORK_SHARE,
                    CALLS,
                    COLD_SHARE,
                    COLD_TIME,
                    WARMS_BY,
                    TIP,
                    TIP_WINDOW,
                    CROWD,
                    CROWD_AFTER,
                    CROWD_FACTOR,
                    CROWD_CALM,
                    CROWD_MOST,
                    STARTS_COLD));

    private enum Telling {
        PUSH,
        POLL
    }

    private static final ConfigKey<Telling> TELLING = ConfigKey.optional(
            "kind", ValueType.choice(Telling.class, "push", "poll"), "\"push\"", "how agents learn of changes");
    private static final ConfigKey<Double> POLL =
            ConfigKey.optional("poll-every", ValueType.duration(10, HOUR_MS), "\"5s\"", "where they poll");
    private static final ConfigKey<Double> LEAST_LAG =
            ConfigKey.optional("least-lag", ValueType.duration(0, HOUR_MS), "\"1s\"", "of a push, at least");
    private static final ConfigKey<Double> MOST_LAG =
            ConfigKey.optional("most-lag", ValueType.duration(0, HOUR_MS), "\"3s\"", "of a push, at most");
    private static final ConfigTable DISCOVERY =
            new ConfigTable("discovery", 0, "", List.of(TELLING, POLL, LEAST_LAG, MOST_LAG));

    private enum Place {
        INSIDE,
        PROCESS
    }

    private static final ConfigKey<Integer> FRONT =
            ConfigKey.optional("front", ValueType.whole(1, 32), "1", "sidecars among which clients are dealt out");
    private static final ConfigKey<Place> PLACE = ConfigKey.optional(
            "run",
            ValueType.choice(Place.class, "inside", "process"),
            "\"inside\"",
            "each in the lab's process, or in one of its own");
    private static final ConfigTable SIDECARS = new ConfigTable("sidecars", 0, "", List.of(FRONT, PLACE));

    private static final ConfigKey<Double> LINK_DELAY =
            ConfigKey.optional("delay", ValueType.duration(0, 60_000), "\"0ms\"", "each way");
    private static final ConfigKey<Double> JITTER =
            ConfigKey.optional("jitter", ValueType.duration(0, 60_000), "\"0ms\"", "added at random, up to this");
    private static final ConfigKey<Double> BANDWIDTH = ConfigKey.optional(
            "kilobytes-per-second", ValueType.number(0.1, 1e7), null, "each way; unbounded if not given");
    private static final ConfigKey<Integer> PIECES = ConfigKey.optional(
            "pieces",
            ValueType.whole(1, 1 << 20),
            null,
            "bytes into which all that is sent is cut; as it comes if not given");
    private static final ConfigTable CLIENT_LINK =
            new ConfigTable("client-links", 0, "", List.of(LINK_DELAY, JITTER, BANDWIDTH, PIECES));
    private static final ConfigTable ENDPOINT_LINK = new ConfigTable("endpoint-links", 0, "", CLIENT_LINK.keys());

    private static final ConfigKey<Fault.Kind> KIND = ConfigKey.required(
            "kind",
            ValueType.choice(
                    Fault.Kind.class,
                    Arrays.stream(Fault.Kind.values()).map(ScenarioFile::word).toArray(String[]::new)),
            "what goes wrong");
    private static final ConfigKey<Integer> FAULT_TIER = ConfigKey.optional(
            "tier", ValueType.whole(1, MOST_TIERS), "1", "whose endpoints or links it befalls, counted from 1");
    private static final ConfigKey<Double> BEGIN =
            ConfigKey.required("begin", ValueType.duration(0, HOUR_MS), "from the beginning of the load");
    private static final ConfigKey<Double> FAULT_LENGTH =
            ConfigKey.required("length", ValueType.duration(0, HOUR_MS), "for how long; it may outlast the run");
    private static final ConfigKey<Double> PART = ConfigKey.optional(
            "share", ValueType.number(0, 1), "0.1", "of the tier's endpoints, at least one; 0 for all of one rack");
    private static final ConfigKey<Double> SIZE =
            ConfigKey.optional("size", ValueType.number(0, 1e6), "1.0", "as the kind has it");
    private static final ConfigTable FAULTS =
            new ConfigTable("faults", 100, "", List.of(KIND, FAULT_TIER, BEGIN, FAULT_LENGTH, PART, SIZE));

    private static final ConfigKey<String> VARIANT = ConfigKey.required("name", ValueType.word(), "its name");
    private static final ConfigKey<Deciders> DECIDER = ConfigKey.optional(
            "decider",
            ValueType.choice(
                    Deciders.class,
                    Arrays.stream(Deciders.values()).map(Deciders::settingName).toArray(String[]::new)),
            "\"boxcar\"",
            "who chooses; others than boxcar only where sidecars run inside");
    private static final ConfigKey<String> SET = ConfigKey.optional(
            "set",
            ValueType.text(SETTINGS, "settings of the edge, as in \"limits.attempts=2 drain.grace=1s\""),
            null,
            "keys of the edge's file that have another value");
    private static final ConfigKey<String> JAR = ConfigKey.optional(
            "jar",
            ValueType.text(".{1,4096}", "the path of a file, from the scenario's folder"),
            null,
            "another build of the edge; only where sidecars are processes");
    private static final ConfigTable VARIANTS =
            new ConfigTable("variants", 32, "", List.of(VARIANT, DECIDER, SET, JAR));

    private static final List<ConfigTable> TABLES = List.of(
            LOAD, CLIENTS, REQUESTS, TENANTS, TIERS, DISCOVERY, SIDECARS, CLIENT_LINK, ENDPOINT_LINK, FAULTS, VARIANTS);

    private ScenarioFile() {}

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reads a scenario; a {@link lemonrail.config.ConfigException} names all that is wrong. */
    public static Scenario read(Path file) throws IOException {
        TomlDocument document = TomlDocument.read(file, Map.of());
        TableReader top = document.root(ROOT, TABLES);
        String about = top.get(ABOUT);
        Path folder = file.toAbsolutePath().getParent();
        String edgeName = top.get(EDGE);
        Path edge = edgeName == null ? null : folder.resolve(edgeName).normalize();
        BalancerSettings known = null;
        if (edge != null && !Files.isRegularFile(edge)) {
            document.addProblem("edge", '"' + edgeName + '"', "there is no such file");
        } else if (edge != null) {
            known = EdgeSettings.load(edge, Map.of());
        }
        Integer seeds = top.get(SEEDS);
        Supplier<Scenario.Load> load = load(document.table(LOAD));
        TableReader clients = document.table(CLIENTS);
        Supplier<Retrying> retrying = retrying(clients);
        Supplier<Scenario.Patience> patience = patience(clients);
        List<Scenario.Requests> requests = requests(document, known);
        List<Scenario.Tenant> tenants = tenants(document, known);
        List<Scenario.Tier> tiers = tiers(document);
        Supplier<Scenario.Discovery> discovery = discovery(document.table(DISCOVERY));
        TableReader sidecars = document.table(SIDECARS);
        Integer front = sidecars.get(FRONT);
        Place place = sidecars.get(PLACE);
        Scenario.Link clientLink = link(document.table(CLIENT_LINK));
        Scenario.Link endpointLink = link(document.table(ENDPOINT_LINK));
        List<Fault> faults = faults(document, tiers.size());
        List<Scenario.Variant> variants =
                variants(document, folder, place == Place.PROCESS, known == null ? null : edge);
        document.throwIfInvalid();
        return new Scenario(
                file.getFileName().toString().replaceFirst("\\.toml$", ""),
                file,
                about,
                edge,
                seeds,
                load.get(),
                retrying.get(),
                patience.get(),
                requests,
                tenants,
                tiers,
                discovery.get(),
                new Scenario.Sidecars(front, place == Place.PROCESS),
                clientLink,
                endpointLink,
                faults,
                variants);
    }

    // Each table is read at once, so that every problem is named; its values are only complete after the check.

    private static Supplier<Retrying> retrying(TableReader clients) {
        Integer retries = clients.get(RETRIES);
        Double wait = clients.get(WAIT);
        Double growth = clients.get(GROWTH);
        Boolean heeds = clients.get(HEEDS);
        return () -> new Retrying(retries, wait, growth, heeds);
    }

    private static Supplier<Scenario.Load> load(TableReader table) {
        Double rate = table.get(RATE);
        Double length = table.get(LENGTH);
        Double warmUp = table.get(WARM_UP);
        Arrivals.Spacing spacing = table.get(SPACING);
        Boolean exponential = table.get(EXPONENTIAL);
        Integer connections = table.get(CLIENT_CONNECTIONS);
        if (length != null && warmUp != null && warmUp >= length) {
            table.addProblem(WARM_UP, "must be below load.length");
        }
        return () -> new Scenario.Load(rate, length, warmUp, spacing, exponential, connections);
    }

    private static Supplier<Scenario.Patience> patience(TableReader clients) {
        Double least = clients.get(LEAST_PATIENCE);
        Double most = clients.get(MOST_PATIENCE);
        ordered(clients, LEAST_PATIENCE, least, most);
        return () -> new Scenario.Patience(least, most);
    }

    private static Supplier<Scenario.Discovery> discovery(TableReader table) {
        Telling telling = table.get(TELLING);
        Double poll = table.get(POLL);
        Double leastLag = table.get(LEAST_LAG);
        Double mostLag = table.get(MOST_LAG);
        ordered(table, LEAST_LAG, leastLag, mostLag);
        return () -> new Scenario.Discovery(telling == Telling.PUSH, poll, leastLag, mostLag);
    }

    private static void ordered(TableReader section, ConfigKey<Double> key, Double least, Double most) {
        if (least != null && most != null && least > most) {
            section.addProblem(key, "is above the most that is allowed beside it, which is " + most);
        }
    }

    /** Says so where a name is none of those that the edge's file has. */
    private static void among(TableReader section, ConfigKey<String> key, String name, List<String> names) {
        if (name != null && names != null && !names.contains(name)) {
            section.addProblem(key, "must be of those that the edge's file has, which are " + names);
        }
    }

    private static List<Scenario.Requests> requests(TomlDocument document, BalancerSettings known) {
        List<String> names = known == null
                ? null
                : known.classes().stream().map(RequestClass::name).toList();
        List<Scenario.Requests> requests = new ArrayList<>();
        for (TableReader section : document.tables(REQUESTS)) {
            String name = section.get(CLASS);
            among(section, CLASS, name, names);
            requests.add(new Scenario.Requests(name, or(section.get(SHARE)), or(section.get(WORK))));
        }
        if (requests.isEmpty()) {
            document.addProblem("requests", null, "is missing; there must be at least one [[requests]]");
        }
        return requests;
    }

    private static double or(Double given) {
        return given == null ? 0 : given;
    }

    private static List<Scenario.Tenant> tenants(TomlDocument document, BalancerSettings known) {
        List<String> names = known == null
                ? null
                : known.tenants().stream().map(TenantQuota::name).toList();
        List<Scenario.Tenant> tenants = new ArrayList<>();
        for (TableReader section : document.tables(TENANTS)) {
            String name = section.get(TENANT);
            among(section, TENANT, name, names);
            tenants.add(new Scenario.Tenant(name, or(section.get(SHARE))));
        }
        if (tenants.isEmpty() && names != null && !names.isEmpty()) {
            document.addProblem("tenants", null, "is missing; the edge's file has " + names);
        }
        return tenants;
    }

    private static List<Scenario.Tier> tiers(TomlDocument document) {
        List<Scenario.Tier> tiers = new ArrayList<>();
        List<TableReader> sections = document.tables(TIERS);
        for (TableReader section : sections) {
            String name = section.get(TIER);
            Integer count = section.get(COUNT);
            Integer cores = section.get(CORES);
            Double leastSpeed = section.get(LEAST_SPEED);
            Double mostSpeed = section.get(MOST_SPEED);
            ordered(section, LEAST_SPEED, leastSpeed, mostSpeed);
            Integer slots = section.get(SLOTS);
            Integer room = section.get(ROOM);
            Integer connections = section.get(CONNECTIONS);
            Double handshake = section.get(HANDSHAKE);
            Integer racks = section.get(RACKS);
            Double window = section.get(RACK_WINDOW);
            Double share = section.get(WORK_SHARE);
            Double calls = section.get(CALLS);
            if (calls != null && calls > 0 && tiers.size() == sections.size() - 1) {
                section.addProblem(CALLS, "must be 0 in the last tier, which has none to call");
            }
            Double coldShare = section.get(COLD_SHARE);
            Double coldTime = section.get(COLD_TIME);
            Warming warming = section.get(WARMS_BY);
            Double tip = section.get(TIP);
            Double tipWindow = section.get(TIP_WINDOW);
            Double crowd = section.get(CROWD);
            Double after = section.get(CROWD_AFTER);
            Double factor = section.get(CROWD_FACTOR);
            Double calm = section.get(CROWD_CALM);
            Double longest = section.get(CROWD_MOST);
            Boolean startsCold = section.get(STARTS_COLD);
            if (document.hasProblems()) {
                tiers.add(null);
                continue;
            }
            tiers.add(new Scenario.Tier(
                    name,
                    count,
                    cores,
                    leastSpeed,
                    mostSpeed,
                    slots,
                    room,
                    connections,
                    handshake,
                    racks,
                    window,
                    share,
                    calls,
                    new ColdStart(
                            coldShare, coldTime, warming, tip == null ? Double.POSITIVE_INFINITY : tip, tipWindow),
                    crowd == null ? Crowding.NONE : new Crowding(crowd, after, factor, calm, longest),
                    startsCold));
        }
        if (tiers.isEmpty()) {
            document.addProblem("tiers", null, "is missing; there must be at least one [[tiers]]");
        }
        return tiers;
    }

    private static Scenario.Link link(TableReader section) {
        Double perSecond = section.get(BANDWIDTH);
        Integer pieces = section.get(PIECES);
        return new Scenario.Link(
                or(section.get(LINK_DELAY)), or(section.get(JITTER)), or(perSecond), pieces == null ? 0 : pieces);
    }

    private static List<Fault> faults(TomlDocument document, int tiers) {
        List<Fault> faults = new ArrayList<>();
        for (TableReader section : document.tables(FAULTS)) {
            Fault.Kind kind = section.get(KIND);
            Integer tier = section.get(FAULT_TIER);
            if (tier != null && tiers > 0 && tier > tiers) {
                section.addProblem(FAULT_TIER, "there are only " + tiers + " tiers");
            }
            Double size = section.get(SIZE);
            if (size != null && size <= 0 && (kind == Fault.Kind.SLOW || kind == Fault.Kind.BURST)) {
                section.addProblem(SIZE, "must be above 0 for this kind");
            }
            faults.add(new Fault(
                    kind,
                    tier == null ? 0 : tier - 1,
                    or(section.get(BEGIN)),
                    or(section.get(FAULT_LENGTH)),
                    or(section.get(PART)),
                    or(size)));
        }
        return faults;
    }

    private static List<Scenario.Variant> variants(TomlDocument document, Path folder, boolean processes, Path edge)
            throws IOException {
        List<Scenario.Variant> variants = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TableReader section : document.tables(VARIANTS)) {
            String name = section.get(VARIANT);
            if (name != null && !names.add(name)) {
                section.addProblem(VARIANT, "is there twice; each must be there once");
            }
            Deciders decider = section.get(DECIDER);
            if (processes && decider != null && decider != Deciders.BOXCAR) {
                section.addProblem(DECIDER, "must be \"boxcar\" where sidecars.run is \"process\"");
            }
            String jar = section.get(JAR);
            if (jar != null && !processes) {
                section.addProblem(JAR, "may be there only where sidecars.run is \"process\"");
            } else if (jar != null && !Files.isRegularFile(folder.resolve(jar))) {
                section.addProblem(JAR, "there is no such file");
            }
            Map<String, String> set = settings(section.get(SET));
            if (edge != null && jar == null) {
                try {
                    EdgeSettings.load(edge, set);
                } catch (IllegalArgumentException e) {
                    section.addProblem(SET, e.getMessage());
                }
            }
            variants.add(new Scenario.Variant(
                    name,
                    decider == null ? null : decider.factory(),
                    set,
                    jar == null ? null : folder.resolve(jar).normalize()));
        }
        if (variants.isEmpty()) {
            variants.add(new Scenario.Variant("boxcar", Deciders.BOXCAR.factory(), Map.of(), null));
        }
        return variants;
    }

    /** From {@code a.b=1 c.d=2} to its parts. */
    private static Map<String, String> settings(String text) {
        Map<String, String> settings = new LinkedHashMap<>();
        if (text != null) {
            for (String part : text.split(" ")) {
                int equals = part.indexOf('=');
                settings.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        return settings;
    }
}
