package lemonrail.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import lemonrail.core.WatchSchedule;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.Idempotency;
import lemonrail.logging.LogSettings;
import lemonrail.logging.Severity;

/**
 * The schema of the operators' file: all tables and keys of an edge, and for reference those of a control node,
 * which {@link ControlSchema} holds.
 */
final class Schema {

    private static final double HOUR_MS = 3_600_000;
    private static final double MINUTE_MS = 60_000;

    /** The protocols of listeners. */
    enum ListenerProtocol {
        HTTP1
    }

    static final ConfigKey<String> NAME = ConfigKey.optional(
            "name",
            ValueType.word(),
            "\"lemonrail\"",
            "the edge's name, the same after a restart; files that it keeps bear it");
    static final ConfigKey<String> STATE_DIR = ConfigKey.optional(
            "state-dir",
            ValueType.text(".{1,4096}", "the path of a folder"),
            null,
            "the folder of files that outlive the process; $TMPDIR or the system's temporary folder if not given");
    static final ConfigKey<Integer> SEED = ConfigKey.optional(
            "seed",
            ValueType.whole(0, Integer.MAX_VALUE),
            null,
            "for random numbers; drawn at each start if not given");

    static final ConfigKey<InetSocketAddress> LISTENER_ADDRESS = ConfigKey.required(
                    "address", ValueType.address(0), "where clients connect; port 0 takes a free one")
            .asReloadable();
    static final ConfigKey<ListenerProtocol> LISTENER_PROTOCOL = ConfigKey.optional(
            "protocol", ValueType.choice(ListenerProtocol.class, "http1"), "\"http1\"", "what is spoken there");

    static final ConfigKey<InetSocketAddress> ADMIN_ADDRESS = ConfigKey.optional(
            "address", ValueType.address(0), null, "where operators call; without it there is no admin API");
    static final ConfigKey<InetSocketAddress> DISCOVERY_ADDRESS = ConfigKey.optional(
                    "address", ValueType.address(1), null, "where the list of endpoints is watched")
            .asReloadable();
    static final ConfigKey<Double> DISCOVERY_WAIT = ConfigKey.optional(
            "wait",
            ValueType.duration(100, WatchSchedule.MAX_WAIT_MS),
            null,
            "how long a poll waits for changes; if not "
                    + "given 1s, or 10ms for each balancer, up to 3s. With more, silent watches hide changes over 6s");

    static final ConfigKey<List<InetSocketAddress>> CONTROL_NODES = ConfigKey.optional(
            "addresses",
            ValueType.addresses(32),
            null,
            "the control nodes of the own region, in place of address: see docs/operate/control.md");
    static final ConfigKey<List<InetSocketAddress>> FALLBACK_NODES = ConfigKey.optional(
            "fallback-addresses",
            ValueType.addresses(32),
            null,
            "those of other regions, for when none of addresses answers");
    static final ConfigKey<List<String>> SERVICES = ConfigKey.optional(
            "services", ValueType.words(64), null, "whose endpoints are wanted of the control nodes; all if not given");
    static final ConfigKey<String> SETTINGS_DOCUMENT = ConfigKey.optional(
            "settings",
            ValueType.word(),
            null,
            "the settings document of the control nodes that this edge follows; none if not given");

    static final ConfigKey<String> ENDPOINT_ID =
            ConfigKey.required("id", ValueType.word(), "its name").asReloadable();
    static final ConfigKey<InetSocketAddress> ENDPOINT_ADDRESS = ConfigKey.required(
                    "address", ValueType.address(1), "where it listens")
            .asReloadable();
    static final ConfigKey<String> ENDPOINT_ZONE = ConfigKey.optional(
                    "zone", ValueType.word(), null, "one of fleet.zones; the first of them if not given")
            .asReloadable();
    static final ConfigKey<Integer> ENDPOINT_RACK = ConfigKey.optional(
                    "rack", ValueType.whole(0, 1_000_000), "0", "those of one rack drop the repeats of a keyed request")
            .asReloadable();
    static final ConfigKey<Double> ENDPOINT_WEIGHT = ConfigKey.optional(
                    "weight", ValueType.number(0.001, 1000), "1.0", "its size, where fleet.weighted is true")
            .asReloadable();
    static final ConfigKey<EndpointState> ENDPOINT_STATE = ConfigKey.optional(
                    "state",
                    ValueType.choice(EndpointState.class, "gone", "in-service", "draining"),
                    "\"in-service\"",
                    "draining: it finishes what it has and gets nothing new")
            .asReloadable();

    static final ConfigKey<List<String>> ZONES =
            ConfigKey.optional("zones", ValueType.words(64), "[\"default\"]", "the names of the zones");
    static final ConfigKey<String> OWN_ZONE = ConfigKey.optional(
            "own-zone", ValueType.word(), null, "the zone that this edge is in; the first if not given");
    static final ConfigKey<Boolean> WEIGHTED = ConfigKey.optional(
            "weighted", ValueType.flag(), "false", "whether endpoints of more weight get more calls");

    static final ConfigKey<String> CLASS_NAME =
            ConfigKey.required("name", ValueType.word(), "what clients write in X-Class");
    static final ConfigKey<Idempotency> IDEMPOTENCY = ConfigKey.optional(
            "effect",
            ValueType.choice(Idempotency.class, "repeatable", "keyed", "once"),
            "\"once\"",
            "repeatable: safe to send again; keyed: a rack drops repeats; once: not again if it may have run");
    static final ConfigKey<Double> LATENCY_OBJECTIVE = ConfigKey.required(
            "aim", ValueType.duration(1, HOUR_MS), "the latency objective: a response is wanted within it");
    static final ConfigKey<Double> DEADLINE =
            ConfigKey.required("deadline", ValueType.duration(1, HOUR_MS), "the longest that a client may wait");
    static final ConfigKey<Double> PRIORITY_WEIGHT = ConfigKey.optional(
            "worth",
            ValueType.number(0, 1_000_000),
            "1.0",
            "the priority weight: the highest come first under overload");
    static final ConfigKey<Double> LATE_RESPONSE_WEIGHT = ConfigKey.optional(
            "late-worth", ValueType.number(0, 1_000_000), "0.0", "the priority weight of a response after the aim");
    static final ConfigKey<DeduplicationScope> DEDUPLICATION_SCOPE = ConfigKey.optional(
            "key-scope",
            ValueType.choice(DeduplicationScope.class, "all", "zone", "rack"),
            "\"all\"",
            "which endpoints drop a keyed request's repeats");
    static final ConfigKey<Double> DEDUPLICATION_WINDOW = ConfigKey.optional(
            "key-window", ValueType.duration(1, HOUR_MS), null, "for how long they do; a keyed class must have it");

    static final ConfigKey<String> TENANT_NAME =
            ConfigKey.required("name", ValueType.word(), "what clients write in X-Tenant");
    static final ConfigKey<Double> TENANT_RATE = ConfigKey.required(
            "rate", ValueType.number(0, 1_000_000), "requests a second, over all edges, that are within its quota");

    static final ConfigKey<Long> MEMORY = ConfigKey.optional(
            "memory",
            ValueType.size(32L << 20, 64L << 30),
            "\"192MiB\"",
            "what the edge's processes may take together");
    static final ConfigKey<Integer> DESCRIPTORS = ConfigKey.optional(
            "descriptors",
            ValueType.whole(96, 1 << 20),
            "1024",
            "what the process may hold; connections of clients and to endpoints share it");
    static final ConfigKey<Integer> ATTEMPTS = ConfigKey.optional(
            "attempts", ValueType.whole(1, 16), "3", "the most attempts for one request, never two at once");
    static final ConfigKey<Double> CONNECT_TIMEOUT = ConfigKey.optional(
            "connect-timeout",
            ValueType.duration(1, MINUTE_MS),
            "\"200ms\"",
            "a connection that is not up by then has failed");
    static final ConfigKey<Double> IDLE_TIMEOUT = ConfigKey.optional(
            "idle-timeout",
            ValueType.duration(100, HOUR_MS),
            "\"15s\"",
            "after so long an endpoint closes an idle connection; the edge does so before");
    static final ConfigKey<Double> MAX_RETRY_AFTER = ConfigKey.optional(
            "retry-after",
            ValueType.duration(0, HOUR_MS),
            "\"2s\"",
            "the longest that a client is asked to wait before a retry; a rejection asks for a quarter of it");

    static final ConfigKey<Integer> BALANCERS =
            ConfigKey.optional("balancers", ValueType.whole(1, 100_000), "1", "how many edges send to these endpoints");
    static final ConfigKey<Integer> BALANCER_INDEX =
            ConfigKey.optional("number", ValueType.whole(0, 99_999), "0", "which of them this one is, counted from 0");
    static final ConfigKey<Integer> TIER = ConfigKey.optional(
            "tier",
            ValueType.whole(0, 16),
            "0",
            "0 rejects requests under overload; deeper tiers carry work done above and do not");
    static final ConfigKey<Double> OVER_QUOTA_WEIGHT = ConfigKey.optional(
            "over-share-worth",
            ValueType.number(0, 1),
            "0.2",
            "the priority weight of a request above its tenant's quota, as a fraction");
    static final ConfigKey<Double> CROSS_ZONE_COST = ConfigKey.optional(
            "cross-zone-price", ValueType.number(0, 1000), "0.0", "what it costs to call another zone");

    static final ConfigKey<Double> SLOW_START_FRACTION = ConfigKey.optional(
            "share",
            ValueType.number(0.01, 1),
            "0.3",
            "the part of its work that an endpoint can do just after its start");
    static final ConfigKey<Double> SLOW_START_DURATION =
            ConfigKey.optional("duration", ValueType.duration(0, HOUR_MS), "\"10s\"", "the length of the slow start");
    static final ConfigKey<Double> OVERLOAD_MULTIPLE = ConfigKey.optional(
            "overload-multiple", ValueType.number(1, 1000), "3.0", "so many times what it can do then is too much");
    static final ConfigKey<Double> OVERLOAD_WINDOW =
            ConfigKey.optional("overload-window", ValueType.duration(1, MINUTE_MS), "\"3s\"", "for so long");
    static final ConfigKey<Double> DRAIN_GRACE = ConfigKey.optional(
            "grace",
            ValueType.duration(0, MINUTE_MS),
            "\"1s\"",
            "an endpoint that drains gets nothing new after this time");

    static final ConfigKey<LogSettings.Format> LOG_FORMAT = ConfigKey.optional(
            "format",
            ValueType.choice(LogSettings.Format.class, "plain", "text", "json"),
            "\"text\"",
            "plain: the message alone; text: with time, level and logger; json: one object a line");
    static final ConfigKey<Severity> LOG_LEVEL = ConfigKey.optional(
                    "level",
                    ValueType.choice(Severity.class, "debug", "info", "warn", "error"),
                    "\"info\"",
                    "from which severity on events are written")
            .asReloadable();
    static final ConfigKey<Map<String, Severity>> LOG_LEVELS = ConfigKey.<Map<String, Severity>>optional(
                    "levels", ValueType.levels(), "{}", "the same for some loggers alone")
            .asReloadable();
    static final ConfigKey<Integer> LOG_QUEUE = ConfigKey.optional(
            "queue",
            ValueType.whole(16, 65_536),
            "1024",
            "events that wait for a slow reader; more are dropped and counted");

    static final ConfigTable ROOT = new ConfigTable("", 0, "the edge itself", List.of(NAME, STATE_DIR, SEED));
    static final ConfigTable LISTENERS = new ConfigTable(
            "listeners", 8, "where clients connect; at least one", List.of(LISTENER_ADDRESS, LISTENER_PROTOCOL));
    static final ConfigTable ADMIN = new ConfigTable("admin", 0, "the admin API", List.of(ADMIN_ADDRESS));
    static final ConfigTable DISCOVERY = new ConfigTable(
            "discovery",
            0,
            "a list of endpoints that is watched",
            List.of(DISCOVERY_ADDRESS, DISCOVERY_WAIT, CONTROL_NODES, FALLBACK_NODES, SERVICES, SETTINGS_DOCUMENT));
    static final ConfigTable ENDPOINTS = new ConfigTable(
            "endpoints",
            1024,
            "a fixed list, or the one to start from where there is discovery",
            List.of(ENDPOINT_ID, ENDPOINT_ADDRESS, ENDPOINT_ZONE, ENDPOINT_RACK, ENDPOINT_WEIGHT, ENDPOINT_STATE));
    static final ConfigTable FLEET =
            new ConfigTable("fleet", 0, "what all endpoints have in common", List.of(ZONES, OWN_ZONE, WEIGHTED));
    static final ConfigTable CLASSES = new ConfigTable(
            "classes",
            64,
            "the classes of requests; at least one",
            List.of(
                    CLASS_NAME,
                    IDEMPOTENCY,
                    LATENCY_OBJECTIVE,
                    DEADLINE,
                    PRIORITY_WEIGHT,
                    LATE_RESPONSE_WEIGHT,
                    DEDUPLICATION_SCOPE,
                    DEDUPLICATION_WINDOW));
    static final ConfigTable TENANTS = new ConfigTable(
            "tenants", 1024, "who sends requests; without any, no quota applies", List.of(TENANT_NAME, TENANT_RATE));
    static final ConfigTable LIMITS = new ConfigTable(
            "limits",
            0,
            "what the machine and the site allow",
            List.of(MEMORY, DESCRIPTORS, ATTEMPTS, CONNECT_TIMEOUT, IDLE_TIMEOUT, MAX_RETRY_AFTER));
    static final ConfigTable BALANCING = new ConfigTable(
            "balancing",
            0,
            "this edge among its peers",
            List.of(BALANCERS, BALANCER_INDEX, TIER, OVER_QUOTA_WEIGHT, CROSS_ZONE_COST));
    static final ConfigTable SLOW_START = new ConfigTable(
            "cold-start",
            0,
            "endpoints that have just started",
            List.of(SLOW_START_FRACTION, SLOW_START_DURATION, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW));
    static final ConfigTable DRAIN = new ConfigTable("drain", 0, "endpoints that are withdrawn", List.of(DRAIN_GRACE));
    static final ConfigTable LOGGING = new ConfigTable(
            "logging", 0, "the log, on standard error", List.of(LOG_FORMAT, LOG_LEVEL, LOG_LEVELS, LOG_QUEUE));

    /** All tables, in the order in which operators read them. */
    static final List<ConfigTable> TABLES = List.of(
            ROOT,
            LISTENERS,
            ADMIN,
            DISCOVERY,
            ENDPOINTS,
            FLEET,
            CLASSES,
            TENANTS,
            LIMITS,
            BALANCING,
            SLOW_START,
            DRAIN,
            LOGGING,
            ControlSchema.CONTROL,
            ControlSchema.PEERS);

    private Schema() {}
}
