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

/** All that the operators' file may say. */
final class Schema {

    private static final double HOUR_MS = 3_600_000;
    private static final double MINUTE_MS = 60_000;

    /** The protocols that a listener may speak. */
    enum Spoken {
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
            "where what outlives the process is kept; $TMPDIR or the system's folder for such if not given");
    static final ConfigKey<Integer> SEED = ConfigKey.optional(
            "seed",
            ValueType.whole(0, Integer.MAX_VALUE),
            null,
            "for random numbers; drawn at each start if not given");

    static final ConfigKey<InetSocketAddress> LISTENER = ConfigKey.required(
                    "address", ValueType.address(0), "where clients connect; port 0 takes a free one")
            .changeable();
    static final ConfigKey<Spoken> PROTOCOL = ConfigKey.optional(
            "protocol", ValueType.choice(Spoken.class, "http1"), "\"http1\"", "what is spoken there");

    static final ConfigKey<InetSocketAddress> ADMIN = ConfigKey.optional(
            "address", ValueType.address(0), null, "where operators call; without it there is no door");
    static final ConfigKey<InetSocketAddress> DISCOVERY = ConfigKey.optional(
                    "address", ValueType.address(1), null, "where the list of endpoints is watched")
            .changeable();
    static final ConfigKey<Double> DISCOVERY_WAIT = ConfigKey.optional(
            "wait",
            ValueType.duration(100, WatchSchedule.MAX_WAIT_MS),
            null,
            "how long a call waits for news; if not "
                    + "given 1s, or 10ms for each balancer, up to 3s. With more, silent watches hide news over 6s");

    static final ConfigKey<List<InetSocketAddress>> NODES = ConfigKey.optional(
            "addresses",
            ValueType.addresses(32),
            null,
            "the control nodes of the own region, in place of address: see docs/operate/control.md");
    static final ConfigKey<List<InetSocketAddress>> FALLBACKS = ConfigKey.optional(
            "fallback-addresses",
            ValueType.addresses(32),
            null,
            "those of other regions, for when none of addresses answers");
    static final ConfigKey<List<String>> SERVICES = ConfigKey.optional(
            "services", ValueType.words(64), null, "whose endpoints are wanted of the control nodes; all if not given");
    static final ConfigKey<String> DOCUMENT = ConfigKey.optional(
            "settings",
            ValueType.word(),
            null,
            "the settings document of the control nodes that this edge follows; none if not given");

    static final ConfigKey<String> ENDPOINT_ID =
            ConfigKey.required("id", ValueType.word(), "its name").changeable();
    static final ConfigKey<InetSocketAddress> ENDPOINT = ConfigKey.required(
                    "address", ValueType.address(1), "where it listens")
            .changeable();
    static final ConfigKey<String> ENDPOINT_ZONE = ConfigKey.optional(
                    "zone", ValueType.word(), null, "one of fleet.zones; the first of them if not given")
            .changeable();
    static final ConfigKey<Integer> ENDPOINT_RACK = ConfigKey.optional(
                    "rack", ValueType.whole(0, 1_000_000), "0", "those of one rack drop the repeats of a keyed request")
            .changeable();
    static final ConfigKey<Double> ENDPOINT_WEIGHT = ConfigKey.optional(
                    "weight", ValueType.number(0.001, 1000), "1.0", "its size, where fleet.weighted is true")
            .changeable();
    static final ConfigKey<EndpointState> ENDPOINT_STATE = ConfigKey.optional(
                    "state",
                    ValueType.choice(EndpointState.class, "gone", "in-service", "draining"),
                    "\"in-service\"",
                    "draining: it finishes what it has and gets nothing new")
            .changeable();

    static final ConfigKey<List<String>> ZONES =
            ConfigKey.optional("zones", ValueType.words(64), "[\"default\"]", "the names of the zones");
    static final ConfigKey<String> OWN_ZONE = ConfigKey.optional(
            "own-zone", ValueType.word(), null, "the zone that this edge is in; the first if not given");
    static final ConfigKey<Boolean> WEIGHTED = ConfigKey.optional(
            "weighted", ValueType.flag(), "false", "whether endpoints of more weight get more calls");

    static final ConfigKey<String> CLASS_NAME =
            ConfigKey.required("name", ValueType.word(), "what clients write in X-Class");
    static final ConfigKey<Idempotency> EFFECT = ConfigKey.optional(
            "effect",
            ValueType.choice(Idempotency.class, "repeatable", "keyed", "once"),
            "\"once\"",
            "repeatable: safe to send again; keyed: a rack drops repeats; once: not again if it may have run");
    static final ConfigKey<Double> AIM =
            ConfigKey.required("aim", ValueType.duration(1, HOUR_MS), "the time within which an answer is wanted");
    static final ConfigKey<Double> DEADLINE =
            ConfigKey.required("deadline", ValueType.duration(1, HOUR_MS), "the longest that a client may wait");
    static final ConfigKey<Double> WORTH = ConfigKey.optional(
            "worth", ValueType.number(0, 1_000_000), "1.0", "under pressure the requests of most worth come first");
    static final ConfigKey<Double> LATE_WORTH = ConfigKey.optional(
            "late-worth", ValueType.number(0, 1_000_000), "0.0", "what an answer after the aim is worth");
    static final ConfigKey<DeduplicationScope> KEY_SCOPE = ConfigKey.optional(
            "key-scope",
            ValueType.choice(DeduplicationScope.class, "all", "zone", "rack"),
            "\"all\"",
            "which endpoints drop a keyed request's repeats");
    static final ConfigKey<Double> KEY_WINDOW = ConfigKey.optional(
            "key-window", ValueType.duration(1, HOUR_MS), null, "for how long they do; a keyed class must have it");

    static final ConfigKey<String> TENANT =
            ConfigKey.required("name", ValueType.word(), "what clients write in X-Tenant");
    static final ConfigKey<Double> RATE = ConfigKey.required(
            "rate", ValueType.number(0, 1_000_000), "requests a second, over all edges, that are within its share");

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
    static final ConfigKey<Double> RETRY_AFTER = ConfigKey.optional(
            "retry-after",
            ValueType.duration(0, HOUR_MS),
            "\"2s\"",
            "the longest that a client is told to stay away; a refusal tells a quarter of it");

    static final ConfigKey<Integer> BALANCERS =
            ConfigKey.optional("balancers", ValueType.whole(1, 100_000), "1", "how many edges send to these endpoints");
    static final ConfigKey<Integer> NUMBER =
            ConfigKey.optional("number", ValueType.whole(0, 99_999), "0", "which of them this one is, counted from 0");
    static final ConfigKey<Integer> TIER = ConfigKey.optional(
            "tier",
            ValueType.whole(0, 16),
            "0",
            "0 turns calls away where all is busy; deeper tiers carry work done above and do not");
    static final ConfigKey<Double> OVER_SHARE = ConfigKey.optional(
            "over-share-worth",
            ValueType.number(0, 1),
            "0.2",
            "what a request beyond its tenant's share is worth, as a part");
    static final ConfigKey<Double> CROSS_ZONE = ConfigKey.optional(
            "cross-zone-price", ValueType.number(0, 1000), "0.0", "what it costs to call another zone");

    static final ConfigKey<Double> COLD_SHARE = ConfigKey.optional(
            "share",
            ValueType.number(0.01, 1),
            "0.3",
            "the part of its work that an endpoint can do just after its start");
    static final ConfigKey<Double> COLD_TIME =
            ConfigKey.optional("duration", ValueType.duration(0, HOUR_MS), "\"10s\"", "after so long it is warm");
    static final ConfigKey<Double> TIP = ConfigKey.optional(
            "overload-multiple", ValueType.number(1, 1000), "3.0", "so many times what it can do then is too much");
    static final ConfigKey<Double> TIP_WINDOW =
            ConfigKey.optional("overload-window", ValueType.duration(1, MINUTE_MS), "\"3s\"", "for so long");
    static final ConfigKey<Double> GRACE = ConfigKey.optional(
            "grace",
            ValueType.duration(0, MINUTE_MS),
            "\"1s\"",
            "an endpoint that drains gets nothing new after this time");

    static final ConfigKey<LogSettings.Format> FORMAT = ConfigKey.optional(
            "format",
            ValueType.choice(LogSettings.Format.class, "plain", "text", "json"),
            "\"text\"",
            "plain: the message alone; text: with time, level and logger; json: one object a line");
    static final ConfigKey<Severity> LEVEL = ConfigKey.optional(
                    "level",
                    ValueType.choice(Severity.class, "debug", "info", "warn", "error"),
                    "\"info\"",
                    "from which severity on events are written")
            .changeable();
    static final ConfigKey<Map<String, Severity>> LEVELS = ConfigKey.<Map<String, Severity>>optional(
                    "levels", ValueType.levels(), "{}", "the same for some loggers alone")
            .changeable();
    static final ConfigKey<Integer> WAITING = ConfigKey.optional(
            "queue",
            ValueType.whole(16, 65_536),
            "1024",
            "events that wait for a slow reader; more are dropped and counted");

    static final ConfigKey<InetSocketAddress> CONTROL_ADDRESS =
            ConfigKey.required("address", ValueType.address(0), "where sidecars and other control nodes watch");
    static final ConfigKey<String> REGION =
            ConfigKey.optional("region", ValueType.word(), "\"default\"", "the region that the node is in");
    static final ConfigKey<Integer> WATCHERS =
            ConfigKey.optional("watchers", ValueType.whole(1, 65_536), "4096", "sidecars that may watch at once");
    static final ConfigKey<Double> ANSWER_GAP = ConfigKey.optional(
            "answer-gap",
            ValueType.duration(1, MINUTE_MS),
            "\"150ms\"",
            "while changes pour one watcher gets at most one answer in this time");
    static final ConfigKey<String> PEER_NAME = ConfigKey.required("name", ValueType.word(), "its name");
    static final ConfigKey<InetSocketAddress> PEER_ADDRESS =
            ConfigKey.required("address", ValueType.address(1), "its control.address");
    static final ConfigKey<String> PEER_REGION =
            ConfigKey.optional("region", ValueType.word(), "\"default\"", "its control.region");

    static final ConfigTable ROOT = new ConfigTable("", 0, "the edge itself", List.of(NAME, STATE_DIR, SEED));
    static final ConfigTable LISTENERS =
            new ConfigTable("listeners", 8, "where clients connect; at least one", List.of(LISTENER, PROTOCOL));
    static final ConfigTable ADMIN_TABLE = new ConfigTable("admin", 0, "the operators' door", List.of(ADMIN));
    static final ConfigTable LIST = new ConfigTable(
            "discovery",
            0,
            "a list of endpoints that is watched",
            List.of(DISCOVERY, DISCOVERY_WAIT, NODES, FALLBACKS, SERVICES, DOCUMENT));
    static final ConfigTable ENDPOINTS = new ConfigTable(
            "endpoints",
            1024,
            "a fixed list, or the one to start from where there is discovery",
            List.of(ENDPOINT_ID, ENDPOINT, ENDPOINT_ZONE, ENDPOINT_RACK, ENDPOINT_WEIGHT, ENDPOINT_STATE));
    static final ConfigTable FLEET =
            new ConfigTable("fleet", 0, "what all endpoints have in common", List.of(ZONES, OWN_ZONE, WEIGHTED));
    static final ConfigTable CLASSES = new ConfigTable(
            "classes",
            64,
            "the classes of requests; at least one",
            List.of(CLASS_NAME, EFFECT, AIM, DEADLINE, WORTH, LATE_WORTH, KEY_SCOPE, KEY_WINDOW));
    static final ConfigTable TENANTS = new ConfigTable(
            "tenants", 1024, "who sends requests; without any, nobody's share is counted", List.of(TENANT, RATE));
    static final ConfigTable LIMITS = new ConfigTable(
            "limits",
            0,
            "what the machine and the site allow",
            List.of(MEMORY, DESCRIPTORS, ATTEMPTS, CONNECT_TIMEOUT, IDLE_TIMEOUT, RETRY_AFTER));
    static final ConfigTable BALANCING = new ConfigTable(
            "balancing", 0, "this edge among its peers", List.of(BALANCERS, NUMBER, TIER, OVER_SHARE, CROSS_ZONE));
    static final ConfigTable COLD_START = new ConfigTable(
            "cold-start", 0, "endpoints that have just started", List.of(COLD_SHARE, COLD_TIME, TIP, TIP_WINDOW));
    static final ConfigTable DRAIN = new ConfigTable("drain", 0, "endpoints that are withdrawn", List.of(GRACE));
    static final ConfigTable LOGGING =
            new ConfigTable("logging", 0, "the log, on standard error", List.of(FORMAT, LEVEL, LEVELS, WAITING));

    static final ConfigTable CONTROL = new ConfigTable(
            "control",
            0,
            "a control node, in a file of its own: lemonrail control --config FILE",
            List.of(CONTROL_ADDRESS, REGION, WATCHERS, ANSWER_GAP));
    static final ConfigTable PEERS = new ConfigTable(
            "peers",
            32,
            "all control nodes, in a control node's file; the one of its own name is left out",
            List.of(PEER_NAME, PEER_ADDRESS, PEER_REGION));

    /** What a settings document of the control nodes may change while edges run. */
    private static final ConfigKey<Double> ANY_AIM = ConfigKey.optional("aim", AIM.type(), null, AIM.meaning());

    private static final ConfigKey<Double> ANY_DEADLINE =
            ConfigKey.optional("deadline", DEADLINE.type(), null, DEADLINE.meaning());
    private static final ConfigKey<Double> ANY_WORTH = ConfigKey.optional("worth", WORTH.type(), null, WORTH.meaning());
    private static final ConfigKey<Double> ANY_LATE_WORTH =
            ConfigKey.optional("late-worth", LATE_WORTH.type(), null, LATE_WORTH.meaning());
    static final ConfigKey<Integer> ANY_ATTEMPTS =
            ConfigKey.optional("attempts", ATTEMPTS.type(), null, ATTEMPTS.meaning());
    static final ConfigKey<Double> ANY_RETRY_AFTER =
            ConfigKey.optional("retry-after", RETRY_AFTER.type(), null, RETRY_AFTER.meaning());
    static final Map<String, ConfigKey<Double>> OF_CLASS =
            Map.of("aim", ANY_AIM, "deadline", ANY_DEADLINE, "worth", ANY_WORTH, "late-worth", ANY_LATE_WORTH);
    static final ConfigTable LIVE_ROOT = new ConfigTable("", 0, "a settings document", List.of());
    static final ConfigTable LIVE_CLASSES = new ConfigTable(
            "classes",
            64,
            "classes by their names",
            List.of(CLASS_NAME, ANY_AIM, ANY_DEADLINE, ANY_WORTH, ANY_LATE_WORTH));
    static final ConfigTable LIVE_LIMITS =
            new ConfigTable("limits", 0, "limits", List.of(ANY_ATTEMPTS, ANY_RETRY_AFTER));

    static final List<ConfigTable> TABLES = List.of(
            ROOT,
            LISTENERS,
            ADMIN_TABLE,
            LIST,
            ENDPOINTS,
            FLEET,
            CLASSES,
            TENANTS,
            LIMITS,
            BALANCING,
            COLD_START,
            DRAIN,
            LOGGING,
            CONTROL,
            PEERS);

    private Schema() {}
}
