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

/** Reads scenario files. Reports all problems of a file together, each with file, line, key and value. */
public final class ScenarioFile {

    private static final double HOUR_MS = 3_600_000;
    private static final int MAX_TIERS = 3;
    private static final int MAX_COUNT = 1_000_000;
    private static final String SETTINGS_PATTERN = "[a-z][a-z.-]*=[^ ]+( [a-z][a-z.-]*=[^ ]+)*";

    private static final ConfigKey<String> ABOUT = ConfigKey.required(
            "about", ValueType.text(".{1,400}", "a sentence"), "one-sentence description, shown in reports");
    private static final ConfigKey<String> EDGE = ConfigKey.optional(
            "edge",
            ValueType.text(".{1,4096}", "a file path, relative to the scenario's directory"),
            "\"edge.toml\"",
            "edge configuration file on which every sidecar's configuration is based");
    private static final ConfigKey<Integer> SEEDS =
            ConfigKey.optional("seeds", ValueType.whole(1, 1000), "1", "number of seeds to run for each variant");
    private static final ConfigTable ROOT = new ConfigTable("", 0, "", List.of(ABOUT, EDGE, SEEDS));

    private static final ConfigKey<Double> RATE = ConfigKey.required(
            "rate", ValueType.number(0.01, 1e6), "new requests per second over all clients, without client retries");
    private static final ConfigKey<Double> LOAD_LENGTH = ConfigKey.required(
            "length", ValueType.duration(100, HOUR_MS), "how long requests arrive, including the warm-up");
    private static final ConfigKey<Double> WARM_UP = ConfigKey.optional(
            "warm-up", ValueType.duration(0, HOUR_MS), "\"2s\"", "time at the start that is excluded from the results");
    private static final ConfigKey<Arrivals.Spacing> ARRIVAL_SPACING = ConfigKey.optional(
            "arrivals",
            ValueType.choice(Arrivals.Spacing.class, "poisson", "even"),
            "\"poisson\"",
            "distribution of the times between requests");
    private static final ConfigKey<Boolean> EXPONENTIAL_WORK = ConfigKey.optional(
            "exponential-work",
            ValueType.flag(),
            "true",
            "whether work is drawn from an exponential distribution; otherwise it is always the mean");
    private static final ConfigKey<Integer> CLIENT_CONNECTIONS = ConfigKey.optional(
            "connections",
            ValueType.whole(1, 20_000),
            "1000",
            "maximum number of connections that clients open at the same time");
    private static final ConfigTable LOAD = new ConfigTable(
            "load", 0, "", List.of(RATE, LOAD_LENGTH, WARM_UP, ARRIVAL_SPACING, EXPONENTIAL_WORK, CLIENT_CONNECTIONS));

    private static final ConfigKey<Integer> RETRIES = ConfigKey.optional(
            "retries", ValueType.whole(0, 100), "1", "maximum number of retries of a request by its client");
    private static final ConfigKey<Double> RETRY_WAIT =
            ConfigKey.optional("wait", ValueType.duration(0, HOUR_MS), "\"300ms\"", "wait before the first retry");
    private static final ConfigKey<Double> WAIT_GROWTH = ConfigKey.optional(
            "growth",
            ValueType.number(1, 100),
            "1.0",
            "factor by which each further wait is longer than the previous one");
    private static final ConfigKey<Boolean> HEEDS_RETRY_AFTER = ConfigKey.optional(
            "heeds-retry-after",
            ValueType.flag(),
            "true",
            "whether Retry-After of a response replaces the client's own wait");
    private static final ConfigKey<Double> MIN_PATIENCE = ConfigKey.optional(
            "least-patience",
            ValueType.number(0.01, 1),
            "0.7",
            "minimum fraction of the deadline that a client waits for a response");
    private static final ConfigKey<Double> MAX_PATIENCE = ConfigKey.optional(
            "most-patience",
            ValueType.number(0.01, 1),
            "1.0",
            "maximum fraction of the deadline that a client waits for a response");
    private static final ConfigTable CLIENTS = new ConfigTable(
            "clients", 0, "", List.of(RETRIES, RETRY_WAIT, WAIT_GROWTH, HEEDS_RETRY_AFTER, MIN_PATIENCE, MAX_PATIENCE));

    private static final ConfigKey<String> CLASS_NAME =
            ConfigKey.required("class", ValueType.word(), "name of a request class in the edge configuration");
    private static final ConfigKey<Double> SHARE =
            ConfigKey.required("share", ValueType.number(0, 1e6), "relative weight against the other shares");
    private static final ConfigKey<Double> MEAN_WORK = ConfigKey.required(
            "work", ValueType.duration(0, HOUR_MS), "mean work summed over all tiers, on a core of speed 1");
    private static final ConfigTable REQUESTS =
            new ConfigTable("requests", 64, "", List.of(CLASS_NAME, SHARE, MEAN_WORK));

    private static final ConfigKey<String> TENANT_NAME =
            ConfigKey.required("name", ValueType.word(), "name of a tenant in the edge configuration");
    private static final ConfigTable TENANTS = new ConfigTable("tenants", 1000, "", List.of(TENANT_NAME, SHARE));

    private static final ConfigKey<String> TIER_NAME = ConfigKey.required("name", ValueType.word(), "name of the tier");
    private static final ConfigKey<Integer> ENDPOINT_COUNT =
            ConfigKey.required("count", ValueType.whole(1, 5000), "number of endpoints");
    private static final ConfigKey<Integer> CORES =
            ConfigKey.optional("cores", ValueType.whole(1, 1024), "1", "number of cores of each endpoint");
    private static final ConfigKey<Double> MIN_SPEED = ConfigKey.optional(
            "least-speed", ValueType.number(0.001, 1e6), "1.0", "lower bound of the speed of an endpoint's cores");
    private static final ConfigKey<Double> MAX_SPEED = ConfigKey.optional(
            "most-speed", ValueType.number(0.001, 1e6), "1.0", "upper bound of the speed of an endpoint's cores");
    private static final ConfigKey<Integer> SLOTS = ConfigKey.optional(
            "slots",
            ValueType.whole(1, MAX_COUNT),
            "8",
            "number of requests that an endpoint processes at the same time");
    private static final ConfigKey<Integer> WAITING_ROOM = ConfigKey.optional(
            "waiting-room", ValueType.whole(0, MAX_COUNT), "16", "number of requests that may wait for a slot");
    private static final ConfigKey<Integer> ENDPOINT_CONNECTIONS = ConfigKey.optional(
            "connections", ValueType.whole(1, MAX_COUNT), "64", "maximum number of open connections to an endpoint");
    private static final ConfigKey<Double> HANDSHAKE = ConfigKey.optional(
            "handshake", ValueType.duration(0, 10_000), "\"2ms\"", "work that a new connection costs");
    private static final ConfigKey<Integer> RACKS = ConfigKey.optional(
            "racks", ValueType.whole(1, 1000), "2", "number of racks over which the endpoints are distributed");
    private static final ConfigKey<Double> RACK_WINDOW = ConfigKey.optional(
            "rack-window",
            ValueType.duration(0, HOUR_MS),
            "\"10s\"",
            "how long a rack remembers idempotency keys, so that it answers repeated requests without work");
    private static final ConfigKey<Double> WORK_SHARE = ConfigKey.optional(
            "work-share",
            ValueType.number(0, 1),
            "1.0",
            "fraction of a request's work that one call to this tier costs");
    private static final ConfigKey<Double> CALLS = ConfigKey.optional(
            "calls", ValueType.number(0, 16), "0.0", "mean number of calls to the next tier for each request");
    private static final ConfigKey<Double> COLD_SHARE = ConfigKey.optional(
            "cold-share",
            ValueType.number(0.01, 1),
            "1.0",
            "fraction of its capacity that an endpoint has right after its start");
    private static final ConfigKey<Double> COLD_TIME = ConfigKey.optional(
            "cold-time",
            ValueType.duration(0, HOUR_MS),
            "\"0s\"",
            "time from the start of an endpoint until it has its full capacity");
    private static final ConfigKey<Warming> WARMS_BY = ConfigKey.optional(
            "warms-by",
            ValueType.choice(Warming.class, "time", "work"),
            "\"time\"",
            "whether an endpoint warms up with time or with the work it has done");
    private static final ConfigKey<Double> TIP_MULTIPLE = ConfigKey.optional(
            "tip-multiple",
            ValueType.number(1, 1e6),
            null,
            "load / capacity above which a cold endpoint stops responding until restarted; no limit if not given");
    private static final ConfigKey<Double> TIP_WINDOW = ConfigKey.optional(
            "tip-window", ValueType.duration(1, HOUR_MS), "\"3s\"", "window over which that load is counted");
    private static final ConfigKey<Double> CROWDED_AT = ConfigKey.optional(
            "crowded-at",
            ValueType.number(1, MAX_COUNT),
            null,
            "requests in progress or queued per core beyond which an endpoint slows down; never if not given");
    private static final ConfigKey<Double> CROWDED_AFTER = ConfigKey.optional(
            "crowded-after",
            ValueType.duration(0, HOUR_MS),
            "\"2s\"",
            "how long an endpoint must be crowded before it slows down");
    private static final ConfigKey<Double> CROWDED_FACTOR = ConfigKey.optional(
            "crowded-factor", ValueType.number(1, 1000), "2.5", "factor by which a crowded endpoint is slower");
    private static final ConfigKey<Double> CROWDED_CALM = ConfigKey.optional(
            "crowded-calm",
            ValueType.duration(0, HOUR_MS),
            "\"3.5s\"",
            "how long an endpoint must be mostly idle before it is fast again");
    private static final ConfigKey<Double> CROWDED_MAX = ConfigKey.optional(
            "crowded-most",
            ValueType.duration(0, HOUR_MS),
            "\"25s\"",
            "time after which an endpoint is fast again in any case");
    private static final ConfigKey<Boolean> STARTS_COLD = ConfigKey.optional(
            "starts-cold", ValueType.flag(), "false", "whether all endpoints have just started when the run begins");
    private static final ConfigTable TIERS = new ConfigTable(
            "tiers",
            MAX_TIERS,
            "",
            List.of(
                    TIER_NAME,
                    ENDPOINT_COUNT,
                    CORES,
                    MIN_SPEED,
                    MAX_SPEED,
                    SLOTS,
                    WAITING_ROOM,
                    ENDPOINT_CONNECTIONS,
                    HANDSHAKE,
                    RACKS,
                    RACK_WINDOW,
                    WORK_SHARE,
                    CALLS,
                    COLD_SHARE,
                    COLD_TIME,
                    WARMS_BY,
                    TIP_MULTIPLE,
                    TIP_WINDOW,
                    CROWDED_AT,
                    CROWDED_AFTER,
                    CROWDED_FACTOR,
                    CROWDED_CALM,
                    CROWDED_MAX,
                    STARTS_COLD));

    private enum UpdateMode {
        PUSH,
        POLL
    }

    private static final ConfigKey<UpdateMode> UPDATE_MODE = ConfigKey.optional(
            "kind", ValueType.choice(UpdateMode.class, "push", "poll"), "\"push\"", "how agents learn of changes");
    private static final ConfigKey<Double> POLL_INTERVAL = ConfigKey.optional(
            "poll-every", ValueType.duration(10, HOUR_MS), "\"5s\"", "poll interval, if kind is poll");
    private static final ConfigKey<Double> MIN_PUSH_LAG =
            ConfigKey.optional("least-lag", ValueType.duration(0, HOUR_MS), "\"1s\"", "minimum delay of a push");
    private static final ConfigKey<Double> MAX_PUSH_LAG =
            ConfigKey.optional("most-lag", ValueType.duration(0, HOUR_MS), "\"3s\"", "maximum delay of a push");
    private static final ConfigTable DISCOVERY =
            new ConfigTable("discovery", 0, "", List.of(UPDATE_MODE, POLL_INTERVAL, MIN_PUSH_LAG, MAX_PUSH_LAG));

    private enum SidecarPlacement {
        INSIDE,
        PROCESS
    }

    private static final ConfigKey<Integer> FRONT_SIDECARS = ConfigKey.optional(
            "front",
            ValueType.whole(1, 32),
            "1",
            "number of sidecars in front of the first tier, over which client requests are distributed");
    private static final ConfigKey<SidecarPlacement> SIDECAR_PLACEMENT = ConfigKey.optional(
            "run",
            ValueType.choice(SidecarPlacement.class, "inside", "process"),
            "\"inside\"",
            "whether sidecars run in the lab's process or each in a separate process");
    private static final ConfigTable SIDECARS =
            new ConfigTable("sidecars", 0, "", List.of(FRONT_SIDECARS, SIDECAR_PLACEMENT));

    private static final ConfigKey<Double> LINK_DELAY =
            ConfigKey.optional("delay", ValueType.duration(0, 60_000), "\"0ms\"", "delay in each direction");
    private static final ConfigKey<Double> LINK_JITTER = ConfigKey.optional(
            "jitter", ValueType.duration(0, 60_000), "\"0ms\"", "upper bound of the random delay that is added");
    private static final ConfigKey<Double> LINK_BANDWIDTH = ConfigKey.optional(
            "kilobytes-per-second",
            ValueType.number(0.1, 1e7),
            null,
            "bandwidth in each direction; unlimited if not given");
    private static final ConfigKey<Integer> LINK_PIECE_BYTES = ConfigKey.optional(
            "pieces",
            ValueType.whole(1, 1 << 20),
            null,
            "size in bytes of the pieces into which data is split; not split if not given");
    private static final ConfigTable CLIENT_LINK =
            new ConfigTable("client-links", 0, "", List.of(LINK_DELAY, LINK_JITTER, LINK_BANDWIDTH, LINK_PIECE_BYTES));
    private static final ConfigTable ENDPOINT_LINK = new ConfigTable("endpoint-links", 0, "", CLIENT_LINK.keys());

    private static final ConfigKey<Fault.Kind> FAULT_KIND = ConfigKey.required(
            "kind",
            ValueType.choice(
                    Fault.Kind.class,
                    Arrays.stream(Fault.Kind.values())
                            .map(ScenarioFile::keyword)
                            .toArray(String[]::new)),
            "kind of the fault");
    private static final ConfigKey<Integer> FAULT_TIER = ConfigKey.optional(
            "tier",
            ValueType.whole(1, MAX_TIERS),
            "1",
            "number, from 1, of the tier whose endpoints or links are affected");
    private static final ConfigKey<Double> FAULT_BEGIN = ConfigKey.required(
            "begin", ValueType.duration(0, HOUR_MS), "start of the fault, measured from the start of the load");
    private static final ConfigKey<Double> FAULT_LENGTH = ConfigKey.required(
            "length",
            ValueType.duration(0, HOUR_MS),
            "duration of the fault, which may extend beyond the end of the run");
    private static final ConfigKey<Double> FAULT_SHARE = ConfigKey.optional(
            "share",
            ValueType.number(0, 1),
            "0.1",
            "fraction of the tier's endpoints that is affected, at least one; 0 for all endpoints of one rack");
    private static final ConfigKey<Double> FAULT_SIZE = ConfigKey.optional(
            "size",
            ValueType.number(0, 1e6),
            "1.0",
            "slow, burst: factor; delay: extra ms; loss: fraction; reset: age in ms at which new connections end");
    private static final ConfigTable FAULTS = new ConfigTable(
            "faults", 100, "", List.of(FAULT_KIND, FAULT_TIER, FAULT_BEGIN, FAULT_LENGTH, FAULT_SHARE, FAULT_SIZE));

    private static final ConfigKey<String> VARIANT_NAME =
            ConfigKey.required("name", ValueType.word(), "name of the variant");
    private static final ConfigKey<Deciders> DECIDER = ConfigKey.optional(
            "decider",
            ValueType.choice(
                    Deciders.class,
                    Arrays.stream(Deciders.values()).map(Deciders::settingName).toArray(String[]::new)),
            "\"boxcar\"",
            "load balancer; must be boxcar if sidecars run in separate processes");
    private static final ConfigKey<String> SETTING_OVERRIDES = ConfigKey.optional(
            "set",
            ValueType.text(SETTINGS_PATTERN, "settings of the edge, for example \"limits.attempts=2 drain.grace=1s\""),
            null,
            "values that replace keys of the edge configuration file");
    private static final ConfigKey<String> JAR = ConfigKey.optional(
            "jar",
            ValueType.text(".{1,4096}", "a file path, relative to the scenario's directory"),
            null,
            "another build of the edge; only if sidecars run in separate processes");
    private static final ConfigTable VARIANTS =
            new ConfigTable("variants", 32, "", List.of(VARIANT_NAME, DECIDER, SETTING_OVERRIDES, JAR));

    private static final List<ConfigTable> TABLES = List.of(
            LOAD, CLIENTS, REQUESTS, TENANTS, TIERS, DISCOVERY, SIDECARS, CLIENT_LINK, ENDPOINT_LINK, FAULTS, VARIANTS);

    private ScenarioFile() {}

    private static String keyword(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Reads a scenario file.
     *
     * @throws lemonrail.config.ConfigException with all problems of the file, if it has any
     */
    public static Scenario read(Path file) throws IOException {
        TomlDocument document = TomlDocument.read(file, Map.of());
        TableReader root = document.root(ROOT, TABLES);
        String about = root.get(ABOUT);
        Path folder = file.toAbsolutePath().getParent();
        String edgeName = root.get(EDGE);
        Path edgeFile = edgeName == null ? null : folder.resolve(edgeName).normalize();
        BalancerSettings edgeSettings = null;
        if (edgeFile != null && !Files.isRegularFile(edgeFile)) {
            document.addProblem("edge", '"' + edgeName + '"', "file does not exist");
        } else if (edgeFile != null) {
            edgeSettings = EdgeSettings.load(edgeFile, Map.of());
        }
        Integer seeds = root.get(SEEDS);
        Supplier<Scenario.Load> load = load(document.table(LOAD));
        TableReader clients = document.table(CLIENTS);
        Supplier<Retrying> retrying = retrying(clients);
        Supplier<Scenario.Patience> patience = patience(clients);
        List<Scenario.Requests> requests = requests(document, edgeSettings);
        List<Scenario.Tenant> tenants = tenants(document, edgeSettings);
        List<Scenario.Tier> tiers = tiers(document);
        Supplier<Scenario.Discovery> discovery = discovery(document.table(DISCOVERY));
        TableReader sidecars = document.table(SIDECARS);
        Integer front = sidecars.get(FRONT_SIDECARS);
        SidecarPlacement placement = sidecars.get(SIDECAR_PLACEMENT);
        Scenario.Link clientLink = link(document.table(CLIENT_LINK));
        Scenario.Link endpointLink = link(document.table(ENDPOINT_LINK));
        List<Fault> faults = faults(document, tiers.size());
        List<Scenario.Variant> variants = variants(
                document, folder, placement == SidecarPlacement.PROCESS, edgeSettings == null ? null : edgeFile);
        document.throwIfInvalid();
        return new Scenario(
                file.getFileName().toString().replaceFirst("\\.toml$", ""),
                file,
                about,
                edgeFile,
                seeds,
                load.get(),
                retrying.get(),
                patience.get(),
                requests,
                tenants,
                tiers,
                discovery.get(),
                new Scenario.Sidecars(front, placement == SidecarPlacement.PROCESS),
                clientLink,
                endpointLink,
                faults,
                variants);
    }

    // Every table is read before the check so that all problems are reported together. Until the check has passed,
    // values may be null, so readers of tables whose records take no null return suppliers; others use 0 for null or
    // add null.

    private static Supplier<Retrying> retrying(TableReader clients) {
        Integer retries = clients.get(RETRIES);
        Double waitMs = clients.get(RETRY_WAIT);
        Double growth = clients.get(WAIT_GROWTH);
        Boolean heedsRetryAfter = clients.get(HEEDS_RETRY_AFTER);
        return () -> new Retrying(retries, waitMs, growth, heedsRetryAfter);
    }

    private static Supplier<Scenario.Load> load(TableReader table) {
        Double rate = table.get(RATE);
        Double lengthMs = table.get(LOAD_LENGTH);
        Double warmUpMs = table.get(WARM_UP);
        Arrivals.Spacing spacing = table.get(ARRIVAL_SPACING);
        Boolean exponentialWork = table.get(EXPONENTIAL_WORK);
        Integer connections = table.get(CLIENT_CONNECTIONS);
        if (lengthMs != null && warmUpMs != null && warmUpMs >= lengthMs) {
            table.addProblem(WARM_UP, "must be below load.length");
        }
        return () -> new Scenario.Load(rate, lengthMs, warmUpMs, spacing, exponentialWork, connections);
    }

    private static Supplier<Scenario.Patience> patience(TableReader clients) {
        Double minFraction = clients.get(MIN_PATIENCE);
        Double maxFraction = clients.get(MAX_PATIENCE);
        requireOrdered(clients, MIN_PATIENCE, minFraction, maxFraction);
        return () -> new Scenario.Patience(minFraction, maxFraction);
    }

    private static Supplier<Scenario.Discovery> discovery(TableReader table) {
        UpdateMode updateMode = table.get(UPDATE_MODE);
        Double pollMs = table.get(POLL_INTERVAL);
        Double minLagMs = table.get(MIN_PUSH_LAG);
        Double maxLagMs = table.get(MAX_PUSH_LAG);
        requireOrdered(table, MIN_PUSH_LAG, minLagMs, maxLagMs);
        return () -> new Scenario.Discovery(updateMode == UpdateMode.PUSH, pollMs, minLagMs, maxLagMs);
    }

    private static void requireOrdered(TableReader table, ConfigKey<Double> key, Double min, Double max) {
        if (min != null && max != null && min > max) {
            table.addProblem(key, "must not exceed the matching most-... key, which is (durations in ms) " + max);
        }
    }

    /** Adds a problem if a name does not occur in the edge configuration file. */
    private static void requireOneOf(TableReader table, ConfigKey<String> key, String name, List<String> names) {
        if (name != null && names != null && !names.contains(name)) {
            table.addProblem(key, "must be one of the names in the edge configuration file, which are " + names);
        }
    }

    private static List<Scenario.Requests> requests(TomlDocument document, BalancerSettings edgeSettings) {
        List<String> names = edgeSettings == null
                ? null
                : edgeSettings.classes().stream().map(RequestClass::name).toList();
        List<Scenario.Requests> requests = new ArrayList<>();
        for (TableReader table : document.tables(REQUESTS)) {
            String name = table.get(CLASS_NAME);
            requireOneOf(table, CLASS_NAME, name, names);
            requests.add(new Scenario.Requests(name, orZero(table.get(SHARE)), orZero(table.get(MEAN_WORK))));
        }
        if (requests.isEmpty()) {
            document.addProblem("requests", null, "is missing; at least one [[requests]] table is required");
        }
        return requests;
    }

    private static double orZero(Double value) {
        return value == null ? 0 : value;
    }

    private static List<Scenario.Tenant> tenants(TomlDocument document, BalancerSettings edgeSettings) {
        List<String> names = edgeSettings == null
                ? null
                : edgeSettings.tenants().stream().map(TenantQuota::name).toList();
        List<Scenario.Tenant> tenants = new ArrayList<>();
        for (TableReader table : document.tables(TENANTS)) {
            String name = table.get(TENANT_NAME);
            requireOneOf(table, TENANT_NAME, name, names);
            tenants.add(new Scenario.Tenant(name, orZero(table.get(SHARE))));
        }
        if (tenants.isEmpty() && names != null && !names.isEmpty()) {
            document.addProblem("tenants", null, "is missing; the edge configuration file has the tenants " + names);
        }
        return tenants;
    }

    private static List<Scenario.Tier> tiers(TomlDocument document) {
        List<Scenario.Tier> tiers = new ArrayList<>();
        List<TableReader> tierTables = document.tables(TIERS);
        for (TableReader table : tierTables) {
            String name = table.get(TIER_NAME);
            Integer count = table.get(ENDPOINT_COUNT);
            Integer cores = table.get(CORES);
            Double minSpeed = table.get(MIN_SPEED);
            Double maxSpeed = table.get(MAX_SPEED);
            requireOrdered(table, MIN_SPEED, minSpeed, maxSpeed);
            Integer slots = table.get(SLOTS);
            Integer waitingRoom = table.get(WAITING_ROOM);
            Integer connections = table.get(ENDPOINT_CONNECTIONS);
            Double handshakeMs = table.get(HANDSHAKE);
            Integer racks = table.get(RACKS);
            Double rackWindowMs = table.get(RACK_WINDOW);
            Double workShare = table.get(WORK_SHARE);
            Double calls = table.get(CALLS);
            if (calls != null && calls > 0 && tiers.size() == tierTables.size() - 1) {
                table.addProblem(CALLS, "must be 0 in the last tier, which has no tier to call");
            }
            Double coldShare = table.get(COLD_SHARE);
            Double coldMs = table.get(COLD_TIME);
            Warming warming = table.get(WARMS_BY);
            Double tip = table.get(TIP_MULTIPLE);
            Double tipWindowMs = table.get(TIP_WINDOW);
            Double crowdedAt = table.get(CROWDED_AT);
            Double afterMs = table.get(CROWDED_AFTER);
            Double factor = table.get(CROWDED_FACTOR);
            Double calmMs = table.get(CROWDED_CALM);
            Double maxMs = table.get(CROWDED_MAX);
            Boolean startsCold = table.get(STARTS_COLD);
            if (document.hasProblems()) {
                tiers.add(null);
                continue;
            }
            tiers.add(new Scenario.Tier(
                    name,
                    count,
                    cores,
                    minSpeed,
                    maxSpeed,
                    slots,
                    waitingRoom,
                    connections,
                    handshakeMs,
                    racks,
                    rackWindowMs,
                    workShare,
                    calls,
                    new ColdStart(
                            coldShare, coldMs, warming, tip == null ? Double.POSITIVE_INFINITY : tip, tipWindowMs),
                    crowdedAt == null ? Crowding.NONE : new Crowding(crowdedAt, afterMs, factor, calmMs, maxMs),
                    startsCold));
        }
        if (tiers.isEmpty()) {
            document.addProblem("tiers", null, "is missing; at least one [[tiers]] table is required");
        }
        return tiers;
    }

    private static Scenario.Link link(TableReader table) {
        Double kilobytesPerSecond = table.get(LINK_BANDWIDTH);
        Integer pieceBytes = table.get(LINK_PIECE_BYTES);
        return new Scenario.Link(
                orZero(table.get(LINK_DELAY)),
                orZero(table.get(LINK_JITTER)),
                orZero(kilobytesPerSecond),
                pieceBytes == null ? 0 : pieceBytes);
    }

    private static List<Fault> faults(TomlDocument document, int tiers) {
        List<Fault> faults = new ArrayList<>();
        for (TableReader table : document.tables(FAULTS)) {
            Fault.Kind kind = table.get(FAULT_KIND);
            Integer tier = table.get(FAULT_TIER);
            if (tier != null && tiers > 0 && tier > tiers) {
                table.addProblem(FAULT_TIER, "is out of range; the scenario has only " + tiers + " tiers");
            }
            Double size = table.get(FAULT_SIZE);
            if (size != null && size <= 0 && (kind == Fault.Kind.SLOW || kind == Fault.Kind.BURST)) {
                table.addProblem(FAULT_SIZE, "must be above 0 for this kind of fault");
            }
            faults.add(new Fault(
                    kind,
                    tier == null ? 0 : tier - 1,
                    orZero(table.get(FAULT_BEGIN)),
                    orZero(table.get(FAULT_LENGTH)),
                    orZero(table.get(FAULT_SHARE)),
                    orZero(size)));
        }
        return faults;
    }

    private static List<Scenario.Variant> variants(TomlDocument document, Path folder, boolean processes, Path edgeFile)
            throws IOException {
        List<Scenario.Variant> variants = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TableReader table : document.tables(VARIANTS)) {
            String name = table.get(VARIANT_NAME);
            if (name != null && !names.add(name)) {
                table.addProblem(VARIANT_NAME, "is duplicated; variant names must be unique");
            }
            Deciders decider = table.get(DECIDER);
            if (processes && decider != null && decider != Deciders.BOXCAR) {
                table.addProblem(DECIDER, "must be \"boxcar\" if sidecars.run is \"process\"");
            }
            String jar = table.get(JAR);
            if (jar != null && !processes) {
                table.addProblem(JAR, "is allowed only if sidecars.run is \"process\"");
            } else if (jar != null && !Files.isRegularFile(folder.resolve(jar))) {
                table.addProblem(JAR, "file does not exist");
            }
            Map<String, String> overrides = parseOverrides(table.get(SETTING_OVERRIDES));
            if (edgeFile != null && jar == null) {
                try {
                    EdgeSettings.load(edgeFile, overrides);
                } catch (IllegalArgumentException e) {
                    table.addProblem(SETTING_OVERRIDES, e.getMessage());
                }
            }
            variants.add(new Scenario.Variant(
                    name,
                    decider == null ? null : decider.factory(),
                    overrides,
                    jar == null ? null : folder.resolve(jar).normalize()));
        }
        if (variants.isEmpty()) {
            variants.add(new Scenario.Variant("boxcar", Deciders.BOXCAR.factory(), Map.of(), null));
        }
        return variants;
    }

    /** Parses settings written as {@code a.b=1 c.d=2}; null gives an empty map. */
    private static Map<String, String> parseOverrides(String text) {
        Map<String, String> overrides = new LinkedHashMap<>();
        if (text != null) {
            for (String setting : text.split(" ")) {
                int equals = setting.indexOf('=');
                overrides.put(setting.substring(0, equals), setting.substring(equals + 1));
            }
        }
        return overrides;
    }
}
