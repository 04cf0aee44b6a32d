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
import lemonrail.config.Key;
import lemonrail.config.Section;
import lemonrail.config.Table;
import lemonrail.config.TomlDocument;
import lemonrail.config.ValueType;
import lemonrail.core.Contract.RequestClass;
import lemonrail.core.Contract.Settings;
import lemonrail.core.Contract.Tenant;
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

    private static final Key<String> ABOUT =
            Key.required("about", ValueType.text(".{1,400}", "a sentence"), "what is played, for reports");
    private static final Key<String> EDGE = Key.optional(
            "edge",
            ValueType.text(".{1,4096}", "the path of a file, from the scenario's folder"),
            "\"edge.toml\"",
            "the operators' file that every sidecar starts from");
    private static final Key<Integer> SEEDS =
            Key.optional("seeds", ValueType.whole(1, 1000), "1", "how many seeds each variant plays");
    private static final Table ROOT = new Table("", 0, "", List.of(ABOUT, EDGE, SEEDS));

    private static final Key<Double> RATE =
            Key.required("rate", ValueType.number(0.01, 1e6), "first tries a second, over all clients");
    private static final Key<Double> LENGTH =
            Key.required("length", ValueType.duration(100, HOUR_MS), "for how long requests come");
    private static final Key<Double> WARM_UP =
            Key.optional("warm-up", ValueType.duration(0, HOUR_MS), "\"2s\"", "before anything counts");
    private static final Key<Arrivals.Spacing> SPACING = Key.optional(
            "arrivals",
            ValueType.choice(Arrivals.Spacing.class, "poisson", "even"),
            "\"poisson\"",
            "how requests follow");
    private static final Key<Boolean> EXPONENTIAL = Key.optional(
            "exponential-work",
            ValueType.flag(),
            "true",
            "whether work is drawn from an exponential distribution, or is always the mean");
    private static final Key<Integer> CLIENT_CONNECTIONS =
            Key.optional("connections", ValueType.whole(1, 20_000), "1000", "that clients may have open at once");
    private static final Table LOAD =
            new Table("load", 0, "", List.of(RATE, LENGTH, WARM_UP, SPACING, EXPONENTIAL, CLIENT_CONNECTIONS));

    private static final Key<Integer> RETRIES =
            Key.optional("retries", ValueType.whole(0, 100), "1", "tries beyond the first");
    private static final Key<Double> WAIT =
            Key.optional("wait", ValueType.duration(0, HOUR_MS), "\"300ms\"", "before the first repeat");
    private static final Key<Double> GROWTH =
            Key.optional("growth", ValueType.number(1, 100), "1.0", "each later wait is so many times the one before");
    private static final Key<Boolean> HEEDS = Key.optional(
            "heeds-retry-after", ValueType.flag(), "true", "whether Retry-After goes before the client's own wait");
    private static final Key<Double> LEAST_PATIENCE = Key.optional(
            "least-patience", ValueType.number(0.01, 1), "0.7", "part of its deadline that a client waits at least");
    private static final Key<Double> MOST_PATIENCE = Key.optional(
            "most-patience", ValueType.number(0.01, 1), "1.0", "part of its deadline that a client waits at most");
    private static final Table CLIENTS =
            new Table("clients", 0, "", List.of(RETRIES, WAIT, GROWTH, HEEDS, LEAST_PATIENCE, MOST_PATIENCE));

    private static final Key<String> CLASS = Key.required("class", ValueType.word(), "a class of the edge");
    private static final Key<Double> SHARE =
            Key.required("share", ValueType.number(0, 1e6), "its part of all, against the other shares");
    private static final Key<Double> WORK =
            Key.required("work", ValueType.duration(0, HOUR_MS), "mean work over all tiers, on a core of speed 1");
    private static final Table REQUESTS = new Table("requests", 64, "", List.of(CLASS, SHARE, WORK));

    private static final Key<String> TENANT = Key.required("name", ValueType.word(), "a tenant of the edge");
    private static final Table TENANTS = new Table("tenants", 1000, "", List.of(TENANT, SHARE));

    private static final Key<String> TIER = Key.required("name", ValueType.word(), "its name");
    private static final Key<Integer> COUNT = Key.required("count", ValueType.whole(1, 5000), "endpoints");
    private static final Key<Integer> CORES = Key.optional("cores", ValueType.whole(1, 1024), "1", "of each endpoint");
    private static final Key<Double> LEAST_SPEED =
            Key.optional("least-speed", ValueType.number(0.001, 1e6), "1.0", "of the slowest endpoint's cores");
    private static final Key<Double> MOST_SPEED =
            Key.optional("most-speed", ValueType.number(0.001, 1e6), "1.0", "of the fastest endpoint's cores");
    private static final Key<Integer> SLOTS =
            Key.optional("slots", ValueType.whole(1, MANY), "8", "requests in work at once");
    private static final Key<Integer> ROOM =
            Key.optional("waiting-room", ValueType.whole(0, MANY), "16", "requests that may wait for a slot");
    private static final Key<Integer> CONNECTIONS =
            Key.optional("connections", ValueType.whole(1, MANY), "64", "open at once at an endpoint");
    private static final Key<Double> HANDSHAKE =
            Key.optional("handshake", ValueType.duration(0, 10_000), "\"2ms\"", "work that a new connection costs");
    private static final Key<Integer> RACKS =
            Key.optional("racks", ValueType.whole(1, 1000), "2", "among which the endpoints are dealt out");
    private static final Key<Double> RACK_WINDOW =
            Key.optional("rack-window", ValueType.duration(0, HOUR_MS), "\"10s\"", "for how long a rack drops repeats");
    private static final Key<Double> WORK_SHARE = Key.optional(
            "work-share", ValueType.number(0, 1), "1.0", "part of a request's work that a call costs here");
    private static final Key<Double> CALLS =
            Key.optional("calls", ValueType.number(0, 16), "0.0", "to the next tier for each request, in the mean");
    private static final Key<Double> COLD_SHARE = Key.optional(
            "cold-share",
            ValueType.number(0.01, 1),
            "1.0",
            "of its capacity that an endpoint has just after its start");
    private static final Key<Double> COLD_TIME =
            Key.optional("cold-time", ValueType.duration(0, HOUR_MS), "\"0s\"", "until it has all");
    private static final Key<Warming> WARMS_BY =
            Key.optional("warms-by", ValueType.choice(Warming.class, "time", "work"), "\"time\"", "with what it warms");
    private static final Key<Double> TIP = Key.optional(
            "tip-multiple",
            ValueType.number(1, 1e6),
            null,
            "times its capacity that a cold endpoint bears; it never falls over if not given");
    private static final Key<Double> TIP_WINDOW =
            Key.optional("tip-window", ValueType.duration(1, HOUR_MS), "\"3s\"", "over which that is counted");
    private static final Key<Double> CROWD = Key.optional(
            "crowded-at",
            ValueType.number(1, MANY),
            null,
            "requests held a core, beyond which an endpoint turns slow; never if not given");
    private static final Key<Double> CROWD_AFTER =
            Key.optional("crowded-after", ValueType.duration(0, HOUR_MS), "\"2s\"", "for how long it must be so");
    private static final Key<Double> CROWD_FACTOR =
            Key.optional("crowded-factor", ValueType.number(1, 1000), "2.5", "so many times slower");
    private static final Key<Double> CROWD_CALM = Key.optional(
            "crowded-calm", ValueType.duration(0, HOUR_MS), "\"3.5s\"", "of being mostly idle, after which it is over");
    private static final Key<Double> CROWD_MOST = Key.optional(
            "crowded-most", ValueType.duration(0, HOUR_MS), "\"25s\"", "after which it is over in any case");
    private static final Key<Boolean> STARTS_COLD =
            Key.optional("starts-cold", ValueType.flag(), "false", "whether all have just started when the run begins");
    private static final Table TIERS = new Table(
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

    private static final Key<Telling> TELLING = Key.optional(
            "kind", ValueType.choice(Telling.class, "push", "poll"), "\"push\"", "how agents learn of changes");
    private static final Key<Double> POLL =
            Key.optional("poll-every", ValueType.duration(10, HOUR_MS), "\"5s\"", "where they poll");
    private static final Key<Double> LEAST_LAG =
            Key.optional("least-lag", ValueType.duration(0, HOUR_MS), "\"1s\"", "of a push, at least");
    private static final Key<Double> MOST_LAG =
            Key.optional("most-lag", ValueType.duration(0, HOUR_MS), "\"3s\"", "of a push, at most");
    private static final Table DISCOVERY = new Table("discovery", 0, "", List.of(TELLING, POLL, LEAST_LAG, MOST_LAG));

    private enum Place {
        INSIDE,
        PROCESS
    }

    private static final Key<Integer> FRONT =
            Key.optional("front", ValueType.whole(1, 32), "1", "sidecars among which clients are dealt out");
    private static final Key<Place> PLACE = Key.optional(
            "run",
            ValueType.choice(Place.class, "inside", "process"),
            "\"inside\"",
            "each in the lab's process, or in one of its own");
    private static final Table SIDECARS = new Table("sidecars", 0, "", List.of(FRONT, PLACE));

    private static final Key<Double> LINK_DELAY =
            Key.optional("delay", ValueType.duration(0, 60_000), "\"0ms\"", "each way");
    private static final Key<Double> JITTER =
            Key.optional("jitter", ValueType.duration(0, 60_000), "\"0ms\"", "added at random, up to this");
    private static final Key<Double> BANDWIDTH =
            Key.optional("kilobytes-per-second", ValueType.number(0.1, 1e7), null, "each way; unbounded if not given");
    private static final Key<Integer> PIECES = Key.optional(
            "pieces",
            ValueType.whole(1, 1 << 20),
            null,
            "bytes into which all that is sent is cut; as it comes if not given");
    private static final Table CLIENT_LINK =
            new Table("client-links", 0, "", List.of(LINK_DELAY, JITTER, BANDWIDTH, PIECES));
    private static final Table ENDPOINT_LINK = new Table("endpoint-links", 0, "", CLIENT_LINK.keys());

    private static final Key<Fault.Kind> KIND = Key.required(
            "kind",
            ValueType.choice(
                    Fault.Kind.class,
                    Arrays.stream(Fault.Kind.values()).map(ScenarioFile::word).toArray(String[]::new)),
            "what goes wrong");
    private static final Key<Integer> FAULT_TIER = Key.optional(
            "tier", ValueType.whole(1, MOST_TIERS), "1", "whose endpoints or links it befalls, counted from 1");
    private static final Key<Double> BEGIN =
            Key.required("begin", ValueType.duration(0, HOUR_MS), "from the beginning of the load");
    private static final Key<Double> FAULT_LENGTH =
            Key.required("length", ValueType.duration(0, HOUR_MS), "for how long; it may outlast the run");
    private static final Key<Double> PART = Key.optional(
            "share", ValueType.number(0, 1), "0.1", "of the tier's endpoints, at least one; 0 for all of one rack");
    private static final Key<Double> SIZE = Key.optional("size", ValueType.number(0, 1e6), "1.0", "as the kind has it");
    private static final Table FAULTS =
            new Table("faults", 100, "", List.of(KIND, FAULT_TIER, BEGIN, FAULT_LENGTH, PART, SIZE));

    private static final Key<String> VARIANT = Key.required("name", ValueType.word(), "its name");
    private static final Key<Deciders> DECIDER = Key.optional(
            "decider",
            ValueType.choice(
                    Deciders.class,
                    Arrays.stream(Deciders.values()).map(Deciders::word).toArray(String[]::new)),
            "\"boxcar\"",
            "who chooses; others than boxcar only where sidecars run inside");
    private static final Key<String> SET = Key.optional(
            "set",
            ValueType.text(SETTINGS, "settings of the edge, as in \"limits.attempts=2 drain.grace=1s\""),
            null,
            "keys of the edge's file that have another value");
    private static final Key<String> JAR = Key.optional(
            "jar",
            ValueType.text(".{1,4096}", "the path of a file, from the scenario's folder"),
            null,
            "another build of the edge; only where sidecars are processes");
    private static final Table VARIANTS = new Table("variants", 32, "", List.of(VARIANT, DECIDER, SET, JAR));

    private static final List<Table> TABLES = List.of(
            LOAD, CLIENTS, REQUESTS, TENANTS, TIERS, DISCOVERY, SIDECARS, CLIENT_LINK, ENDPOINT_LINK, FAULTS, VARIANTS);

    private ScenarioFile() {}

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reads a scenario; a {@link lemonrail.config.ConfigException} names all that is wrong. */
    public static Scenario read(Path file) throws IOException {
        TomlDocument document = TomlDocument.read(file, Map.of());
        Section top = document.top(ROOT, TABLES);
        String about = top.get(ABOUT);
        Path folder = file.toAbsolutePath().getParent();
        String edgeName = top.get(EDGE);
        Path edge = edgeName == null ? null : folder.resolve(edgeName).normalize();
        Settings known = null;
        if (edge != null && !Files.isRegularFile(edge)) {
            document.wrong("edge", '"' + edgeName + '"', "there is no such file");
        } else if (edge != null) {
            known = EdgeSettings.load(edge, Map.of());
        }
        Integer seeds = top.get(SEEDS);
        Section load = document.one(LOAD);
        Double rate = load.get(RATE);
        Double length = load.get(LENGTH);
        Double warmUp = load.get(WARM_UP);
        Arrivals.Spacing spacing = load.get(SPACING);
        Boolean exponential = load.get(EXPONENTIAL);
        Integer connections = load.get(CLIENT_CONNECTIONS);
        if (length != null && warmUp != null && warmUp >= length) {
            load.contradicts(WARM_UP, "must be below load.length");
        }
        Section clients = document.one(CLIENTS);
        Integer retries = clients.get(RETRIES);
        Double wait = clients.get(WAIT);
        Double growth = clients.get(GROWTH);
        Boolean heeds = clients.get(HEEDS);
        Double least = clients.get(LEAST_PATIENCE);
        Double most = clients.get(MOST_PATIENCE);
        ordered(clients, LEAST_PATIENCE, least, most);
        List<Scenario.Requests> requests = requests(document, known);
        List<Scenario.Tenant> tenants = tenants(document, known);
        List<Scenario.Tier> tiers = tiers(document);
        Section discovery = document.one(DISCOVERY);
        Telling telling = discovery.get(TELLING);
        Double poll = discovery.get(POLL);
        Double leastLag = discovery.get(LEAST_LAG);
        Double mostLag = discovery.get(MOST_LAG);
        ordered(discovery, LEAST_LAG, leastLag, mostLag);
        Section sidecars = document.one(SIDECARS);
        Integer front = sidecars.get(FRONT);
        Place place = sidecars.get(PLACE);
        Scenario.Link clientLink = link(document.one(CLIENT_LINK));
        Scenario.Link endpointLink = link(document.one(ENDPOINT_LINK));
        List<Fault> faults = faults(document, tiers.size());
        List<Scenario.Variant> variants =
                variants(document, folder, place == Place.PROCESS, known == null ? null : edge);
        document.check();
        String name = file.getFileName().toString().replaceFirst("\\.toml$", "");
        return new Scenario(
                name,
                file,
                about,
                edge,
                seeds,
                new Scenario.Load(rate, length, warmUp, spacing, exponential, connections),
                new Retrying(retries, wait, growth, heeds),
                new Scenario.Patience(least, most),
                requests,
                tenants,
                tiers,
                new Scenario.Discovery(telling == Telling.PUSH, poll, leastLag, mostLag),
                new Scenario.Sidecars(front, place == Place.PROCESS),
                clientLink,
                endpointLink,
                faults,
                variants);
    }

    private static void ordered(Section section, Key<Double> key, Double least, Double most) {
        if (least != null && most != null && least > most) {
            section.contradicts(key, "is above the most that is allowed beside it, which is " + most);
        }
    }

    /** Says so where a name is none of those that the edge's file has. */
    private static void among(Section section, Key<String> key, String name, List<String> names) {
        if (name != null && names != null && !names.contains(name)) {
            section.contradicts(key, "must be of those that the edge's file has, which are " + names);
        }
    }

    private static List<Scenario.Requests> requests(TomlDocument document, Settings known) {
        List<String> names = known == null
                ? null
                : known.classes().stream().map(RequestClass::name).toList();
        List<Scenario.Requests> requests = new ArrayList<>();
        for (Section section : document.all(REQUESTS)) {
            String name = section.get(CLASS);
            among(section, CLASS, name, names);
            requests.add(new Scenario.Requests(name, or(section.get(SHARE)), or(section.get(WORK))));
        }
        if (requests.isEmpty()) {
            document.wrong("requests", null, "is missing; there must be at least one [[requests]]");
        }
        return requests;
    }

    private static double or(Double given) {
        return given == null ? 0 : given;
    }

    private static List<Scenario.Tenant> tenants(TomlDocument document, Settings known) {
        List<String> names = known == null
                ? null
                : known.tenants().stream().map(Tenant::name).toList();
        List<Scenario.Tenant> tenants = new ArrayList<>();
        for (Section section : document.all(TENANTS)) {
            String name = section.get(TENANT);
            among(section, TENANT, name, names);
            tenants.add(new Scenario.Tenant(name, or(section.get(SHARE))));
        }
        if (tenants.isEmpty() && names != null && !names.isEmpty()) {
            document.wrong("tenants", null, "is missing; the edge's file has " + names);
        }
        return tenants;
    }

    private static List<Scenario.Tier> tiers(TomlDocument document) {
        List<Scenario.Tier> tiers = new ArrayList<>();
        List<Section> sections = document.all(TIERS);
        for (Section section : sections) {
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
                section.contradicts(CALLS, "must be 0 in the last tier, which has none to call");
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
            if (document.isWrong()) {
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
            document.wrong("tiers", null, "is missing; there must be at least one [[tiers]]");
        }
        return tiers;
    }

    private static Scenario.Link link(Section section) {
        Double perSecond = section.get(BANDWIDTH);
        Integer pieces = section.get(PIECES);
        return new Scenario.Link(
                or(section.get(LINK_DELAY)), or(section.get(JITTER)), or(perSecond), pieces == null ? 0 : pieces);
    }

    private static List<Fault> faults(TomlDocument document, int tiers) {
        List<Fault> faults = new ArrayList<>();
        for (Section section : document.all(FAULTS)) {
            Fault.Kind kind = section.get(KIND);
            Integer tier = section.get(FAULT_TIER);
            if (tier != null && tiers > 0 && tier > tiers) {
                section.contradicts(FAULT_TIER, "there are only " + tiers + " tiers");
            }
            Double size = section.get(SIZE);
            if (size != null && size <= 0 && (kind == Fault.Kind.SLOW || kind == Fault.Kind.BURST)) {
                section.contradicts(SIZE, "must be above 0 for this kind");
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
        for (Section section : document.all(VARIANTS)) {
            String name = section.get(VARIANT);
            if (name != null && !names.add(name)) {
                section.contradicts(VARIANT, "is there twice; each must be there once");
            }
            Deciders decider = section.get(DECIDER);
            if (processes && decider != null && decider != Deciders.BOXCAR) {
                section.contradicts(DECIDER, "must be \"boxcar\" where sidecars.run is \"process\"");
            }
            String jar = section.get(JAR);
            if (jar != null && !processes) {
                section.contradicts(JAR, "may be there only where sidecars.run is \"process\"");
            } else if (jar != null && !Files.isRegularFile(folder.resolve(jar))) {
                section.contradicts(JAR, "there is no such file");
            }
            Map<String, String> set = settings(section.get(SET));
            if (edge != null && jar == null) {
                try {
                    EdgeSettings.load(edge, set);
                } catch (IllegalArgumentException e) {
                    section.contradicts(SET, e.getMessage());
                }
            }
            variants.add(new Scenario.Variant(
                    name,
                    decider == null ? null : decider.decider(),
                    set,
                    jar == null ? null : folder.resolve(jar).normalize()));
        }
        if (variants.isEmpty()) {
            variants.add(new Scenario.Variant("boxcar", Deciders.BOXCAR.decider(), Map.of(), null));
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
