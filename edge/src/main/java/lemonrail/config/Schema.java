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
 * The schema of the operators' file: all tables and keys of an edge. {@link #TABLES} also lists the tables of a
 * control node, which {@link ControlSchema} defines.
 */
final class Schema {

    private static final double HOUR_MS = 3_600_000;
    private static final double MINUTE_MS = 60_000;

    /** The protocols that listeners support. */
    enum ListenerProtocol {
        HTTP1
    }

    static final ConfigKey<String> NAME = ConfigKey.optional(
            "name",
            ValueType.word(),
            "\"lemonrail\"",
            "the edge's name, which must be stable across restarts; its state files are named after it");
    static final ConfigKey<String> STATE_DIR = ConfigKey.optional(
            "state-dir",
            ValueType.text(".{1,4096}", "the path of a folder"),
            null,
            "the folder of state files, which survive restarts; if not set, $TMPDIR or the system's temporary folder");
    static final ConfigKey<Integer> SEED = ConfigKey.optional(
            "seed",
            ValueType.whole(0, Integer.MAX_VALUE),
            null,
            "the seed of random numbers; if not set, drawn at each start");

    static final ConfigKey<InetSocketAddress> LISTENER_ADDRESS = ConfigKey.required(
                    "address", ValueType.address(0), "the address that clients connect to; port 0 selects a free port")
            .asReloadable();
    static final ConfigKey<ListenerProtocol> LISTENER_PROTOCOL = ConfigKey.optional(
            "protocol",
            ValueType.choice(ListenerProtocol.class, "http1"),
            "\"http1\"",
            "the protocol that clients use");

    static final ConfigKey<InetSocketAddress> ADMIN_ADDRESS = ConfigKey.optional(
            "address", ValueType.address(0), null, "the address of the admin API; if not set, there is no admin API");
    static final ConfigKey<InetSocketAddress> DISCOVERY_ADDRESS = ConfigKey.optional(
                    "address",
                    ValueType.address(1),
                    null,
                    "the address of the discovery service, which provides the endpoint list")
            .asReloadable();
    static final ConfigKey<Double> DISCOVERY_WAIT = ConfigKey.optional(
            "wait",
            ValueType.duration(100, WatchSchedule.MAX_WAIT_MS),
            null,
            "how long a poll waits for changes; if not set, 1s, or 10ms for each balancer if that is longer, up to 3s. "
                    + "With a wait above 3s, a change could be missed for more than 6s when a watch gets no response");

    static final ConfigKey<List<InetSocketAddress>> CONTROL_NODES = ConfigKey.optional(
            "addresses",
            ValueType.addresses(32),
            null,
            "the control nodes of this region, instead of discovery.address; see docs/operate/control.md");
    static final ConfigKey<List<InetSocketAddress>> FALLBACK_NODES = ConfigKey.optional(
            "fallback-addresses",
            ValueType.addresses(32),
            null,
            "the control nodes of other regions, used while none of discovery.addresses responds");
    static final ConfigKey<List<String>> SERVICES = ConfigKey.optional(
            "services",
            ValueType.identifiers(64),
            null,
            "the services whose endpoints are requested from the control nodes; if not set, all");
    static final ConfigKey<String> SETTINGS_DOCUMENT = ConfigKey.optional(
            "settings",
            ValueType.word(),
            null,
            "the settings document of the control nodes that this edge applies; if not set, none");

    static final ConfigKey<String> ENDPOINT_ID = ConfigKey.required(
                    "id", ValueType.word(), "the unique name of the endpoint")
            .asReloadable();
    static final ConfigKey<InetSocketAddress> ENDPOINT_ADDRESS = ConfigKey.required(
                    "address", ValueType.address(1), "the address that the endpoint listens on")
            .asReloadable();
    static final ConfigKey<String> ENDPOINT_ZONE = ConfigKey.optional(
                    "zone",
                    ValueType.word(),
                    null,
                    "the zone of the endpoint, one of fleet.zones; if not set, the first of them")
            .asReloadable();
    static final ConfigKey<Integer> ENDPOINT_RACK = ConfigKey.optional(
                    "rack",
                    ValueType.whole(0, 1_000_000),
                    "0",
                    "the rack of the endpoint; endpoints of one rack deduplicate keyed requests together")
            .asReloadable();
    static final ConfigKey<Double> ENDPOINT_WEIGHT = ConfigKey.optional(
                    "weight",
                    ValueType.number(0.001, 1000),
                    "1.0",
                    "the relative capacity of the endpoint, used if fleet.weighted is true")
            .asReloadable();
    static final ConfigKey<EndpointState> ENDPOINT_STATE = ConfigKey.optional(
                    "state",
                    ValueType.choice(EndpointState.class, "gone", "in-service", "draining"),
                    "\"in-service\"",
                    "draining: the endpoint finishes its requests and gets no new ones")
            .asReloadable();

    static final ConfigKey<List<String>> ZONES = ConfigKey.optional(
            "zones", ValueType.identifiers(64), "[\"default\"]", "the names of the zones of all endpoints");
    static final ConfigKey<String> OWN_ZONE = ConfigKey.optional(
            "own-zone", ValueType.word(), null, "the zone of this edge; if not set, the first of fleet.zones");
    static final ConfigKey<Boolean> WEIGHTED = ConfigKey.optional(
            "weighted", ValueType.flag(), "false", "whether endpoints with a higher weight get more requests");

    static final ConfigKey<String> CLASS_NAME =
            ConfigKey.required("name", ValueType.word(), "the name that clients send in the header X-Class");
    static final ConfigKey<Idempotency> IDEMPOTENCY = ConfigKey.optional(
            "effect",
            ValueType.choice(Idempotency.class, "repeatable", "keyed", "once"),
            "\"once\"",
            "repeatable: safe to retry; keyed: endpoints deduplicate retries; once: no retry after it may have run");
    static final ConfigKey<Double> LATENCY_OBJECTIVE = ConfigKey.required(
            "aim",
            ValueType.duration(1, HOUR_MS),
            "the latency objective: the time within which a response is expected");
    static final ConfigKey<Double> DEADLINE = ConfigKey.required(
            "deadline", ValueType.duration(1, HOUR_MS), "the maximum time that a client waits for a response");
    static final ConfigKey<Double> PRIORITY_WEIGHT = ConfigKey.optional(
            "worth",
            ValueType.number(0, 1_000_000),
            "1.0",
            "the priority weight: under overload, requests of the highest weight are served first");
    static final ConfigKey<Double> LATE_RESPONSE_WEIGHT = ConfigKey.optional(
            "late-worth",
            ValueType.number(0, 1_000_000),
            "0.0",
            "the priority weight of a response that arrives after the aim");
    static final ConfigKey<DeduplicationScope> DEDUPLICATION_SCOPE = ConfigKey.optional(
            "key-scope",
            ValueType.choice(DeduplicationScope.class, "all", "zone", "rack"),
            "\"all\"",
            "which endpoints deduplicate a keyed request together");
    static final ConfigKey<Double> DEDUPLICATION_WINDOW = ConfigKey.optional(
            "key-window",
            ValueType.duration(1, HOUR_MS),
            null,
            "how long endpoints deduplicate a keyed request; required for keyed classes");

    static final ConfigKey<String> TENANT_NAME =
            ConfigKey.required("name", ValueType.word(), "the name that clients send in the header X-Tenant");
    static final ConfigKey<Double> TENANT_RATE = ConfigKey.required(
            "rate", ValueType.number(0, 1_000_000), "the quota of the tenant, in requests per second over all edges");

    static final ConfigKey<Long> MEMORY = ConfigKey.optional(
            "memory",
            ValueType.size(32L << 20, 64L << 30),
            "\"192MiB\"",
            "the memory limit of all processes of the edge together");
    static final ConfigKey<Integer> DESCRIPTORS = ConfigKey.optional(
            "descriptors",
            ValueType.whole(96, 1 << 20),
            "1024",
            "the limit on file descriptors, shared by client connections and connections to endpoints");
    static final ConfigKey<Integer> ATTEMPTS = ConfigKey.optional(
            "attempts",
            ValueType.whole(1, 16),
            "3",
            "the maximum number of attempts per request, which never run in parallel");
    static final ConfigKey<Double> CONNECT_TIMEOUT = ConfigKey.optional(
            "connect-timeout",
            ValueType.duration(1, MINUTE_MS),
            "\"200ms\"",
            "the time after which an attempt to connect has failed");
    static final ConfigKey<Double> IDLE_TIMEOUT = ConfigKey.optional(
            "idle-timeout",
            ValueType.duration(100, HOUR_MS),
            "\"15s\"",
            "the time after which endpoints close idle connections; the edge closes them earlier");
    static final ConfigKey<Double> MAX_RETRY_AFTER = ConfigKey.optional(
            "retry-after",
            ValueType.duration(0, HOUR_MS),
            "\"2s\"",
            "the maximum time that a client is asked to wait before a retry; a rejection asks for a quarter of it");

    static final ConfigKey<Integer> BALANCERS = ConfigKey.optional(
            "balancers", ValueType.whole(1, 100_000), "1", "the number of edges that send requests to these endpoints");
    static final ConfigKey<Integer> BALANCER_INDEX = ConfigKey.optional(
            "number",
            ValueType.whole(0, 99_999),
            "0",
            "the index of this edge among balancing.balancers, counted from 0");
    static final ConfigKey<Integer> TIER = ConfigKey.optional(
            "tier",
            ValueType.whole(0, 16),
            "0",
            "tier 0 rejects requests under overload; deeper tiers do not, because earlier tiers already did work");
    static final ConfigKey<Double> OVER_QUOTA_WEIGHT = ConfigKey.optional(
            "over-share-worth",
            ValueType.number(0, 1),
            "0.2",
            "the priority weight of a request above its tenant's quota, as a fraction of the weight within the quota");
    static final ConfigKey<Double> CROSS_ZONE_COST = ConfigKey.optional(
            "cross-zone-price",
            ValueType.number(0, 1000),
            "0.0",
            "the cost of a request to another zone, relative to a response within the aim");

    static final ConfigKey<Double> SLOW_START_FRACTION = ConfigKey.optional(
            "share",
            ValueType.number(0.01, 1),
            "0.3",
            "the fraction of its full load that an endpoint can take just after its start");
    static final ConfigKey<Double> SLOW_START_DURATION =
            ConfigKey.optional("duration", ValueType.duration(0, HOUR_MS), "\"10s\"", "the duration of the slow start");
    static final ConfigKey<Double> OVERLOAD_MULTIPLE = ConfigKey.optional(
            "overload-multiple",
            ValueType.number(1, 1000),
            "3.0",
            "an endpoint in slow start fails at this multiple of the load that it can take");
    static final ConfigKey<Double> OVERLOAD_WINDOW = ConfigKey.optional(
            "overload-window",
            ValueType.duration(1, MINUTE_MS),
            "\"3s\"",
            "the time over which the load for overload-multiple is counted");
    static final ConfigKey<Double> DRAIN_GRACE = ConfigKey.optional(
            "grace",
            ValueType.duration(0, MINUTE_MS),
            "\"1s\"",
            "the time after which a draining endpoint gets no new requests");

    static final ConfigKey<LogSettings.Format> LOG_FORMAT = ConfigKey.optional(
            "format",
            ValueType.choice(LogSettings.Format.class, "plain", "text", "json"),
            "\"text\"",
            "plain: the message alone; text: with time, level and logger; json: one object per line");
    static final ConfigKey<Severity> LOG_LEVEL = ConfigKey.optional(
                    "level",
                    ValueType.choice(Severity.class, "debug", "info", "warn", "error"),
                    "\"info\"",
                    "the lowest severity of events that are written")
            .asReloadable();
    static final ConfigKey<Map<String, Severity>> LOG_LEVELS = ConfigKey.<Map<String, Severity>>optional(
                    "levels", ValueType.levels(), "{}", "the levels of individual loggers")
            .asReloadable();
    static final ConfigKey<Integer> LOG_QUEUE = ConfigKey.optional(
            "queue",
            ValueType.whole(16, 65_536),
            "1024",
            "the number of events that wait for a slow reader; further ones are dropped and counted");

    static final ConfigTable ROOT =
            new ConfigTable("", 0, "general settings of the edge", List.of(NAME, STATE_DIR, SEED));
    static final ConfigTable LISTENERS = new ConfigTable(
            "listeners",
            8,
            "the addresses that clients connect to; at least one",
            List.of(LISTENER_ADDRESS, LISTENER_PROTOCOL));
    static final ConfigTable ADMIN = new ConfigTable("admin", 0, "the admin API", List.of(ADMIN_ADDRESS));
    static final ConfigTable DISCOVERY = new ConfigTable(
            "discovery",
            0,
            "the source of endpoint lists, which is watched for changes",
            List.of(DISCOVERY_ADDRESS, DISCOVERY_WAIT, CONTROL_NODES, FALLBACK_NODES, SERVICES, SETTINGS_DOCUMENT));
    static final ConfigTable ENDPOINTS = new ConfigTable(
            "endpoints",
            1024,
            "a fixed list of endpoints, or the initial list if there is discovery",
            List.of(ENDPOINT_ID, ENDPOINT_ADDRESS, ENDPOINT_ZONE, ENDPOINT_RACK, ENDPOINT_WEIGHT, ENDPOINT_STATE));
    static final ConfigTable FLEET =
            new ConfigTable("fleet", 0, "properties of the set of all endpoints", List.of(ZONES, OWN_ZONE, WEIGHTED));
    static final ConfigTable CLASSES = new ConfigTable(
            "classes",
            64,
            "the request classes; at least one",
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
            "tenants",
            1024,
            "the tenants and their quotas; without tenants, no quota applies",
            List.of(TENANT_NAME, TENANT_RATE));
    static final ConfigTable LIMITS = new ConfigTable(
            "limits",
            0,
            "limits on resources, attempts and times",
            List.of(MEMORY, DESCRIPTORS, ATTEMPTS, CONNECT_TIMEOUT, IDLE_TIMEOUT, MAX_RETRY_AFTER));
    static final ConfigTable BALANCING = new ConfigTable(
            "balancing",
            0,
            "this edge among all edges that share its endpoints",
            List.of(BALANCERS, BALANCER_INDEX, TIER, OVER_QUOTA_WEIGHT, CROSS_ZONE_COST));
    static final ConfigTable SLOW_START = new ConfigTable(
            "cold-start",
            0,
            "the slow start of endpoints that have just started",
            List.of(SLOW_START_FRACTION, SLOW_START_DURATION, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW));
    static final ConfigTable DRAIN = new ConfigTable("drain", 0, "the draining of endpoints", List.of(DRAIN_GRACE));
    static final ConfigTable LOGGING = new ConfigTable(
            "logging",
            0,
            "the log, which is written to standard error",
            List.of(LOG_FORMAT, LOG_LEVEL, LOG_LEVELS, LOG_QUEUE));

    /** All tables, in the order in which they are printed. */
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
