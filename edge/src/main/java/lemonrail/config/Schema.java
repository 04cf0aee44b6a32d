package lemonrail.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import lemonrail.core.Contract.Effect;
import lemonrail.core.Contract.Group;
import lemonrail.core.Contract.State;
import lemonrail.core.WatchPace;
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

    static final Key<String> NAME = Key.optional(
            "name",
            ValueType.word(),
            "\"lemonrail\"",
            "the edge's name, the same after a restart; files that it keeps bear it");
    static final Key<String> STATE_DIR = Key.optional(
            "state-dir",
            ValueType.text(".{1,4096}", "the path of a folder"),
            null,
            "where what outlives the process is kept; $TMPDIR or the system's folder for such if not given");
    static final Key<Integer> SEED = Key.optional(
            "seed",
            ValueType.whole(0, Integer.MAX_VALUE),
            null,
            "for random numbers; drawn at each start if not given");

    static final Key<InetSocketAddress> LISTENER = Key.required(
                    "address", ValueType.address(0), "where clients connect; port 0 takes a free one")
            .changeable();
    static final Key<Spoken> PROTOCOL =
            Key.optional("protocol", ValueType.choice(Spoken.class, "http1"), "\"http1\"", "what is spoken there");

    static final Key<InetSocketAddress> ADMIN =
            Key.optional("address", ValueType.address(0), null, "where operators call; without it there is no door");
    static final Key<InetSocketAddress> DISCOVERY = Key.optional(
                    "address", ValueType.address(1), null, "where the list of endpoints is watched")
            .changeable();
    static final Key<Double> DISCOVERY_WAIT = Key.optional(
            "wait",
            ValueType.duration(100, WatchPace.LONGEST_WAIT_MS),
            null,
            "how long a call waits for news; if not "
                    + "given 1s, or 10ms for each balancer, up to 3s. With more, silent watches hide news over 6s");

    static final Key<List<InetSocketAddress>> NODES = Key.optional(
            "addresses",
            ValueType.addresses(32),
            null,
            "the control nodes of the own region, in place of address: see docs/operate/control.md");
    static final Key<List<InetSocketAddress>> FALLBACKS = Key.optional(
            "fallback-addresses",
            ValueType.addresses(32),
            null,
            "those of other regions, for when none of addresses answers");
    static final Key<List<String>> SERVICES = Key.optional(
            "services", ValueType.words(64), null, "whose endpoints are wanted of the control nodes; all if not given");
    static final Key<String> DOCUMENT = Key.optional(
            "settings",
            ValueType.word(),
            null,
            "the settings document of the control nodes that this edge follows; none if not given");

    static final Key<String> ENDPOINT_ID =
            Key.required("id", ValueType.word(), "its name").changeable();
    static final Key<InetSocketAddress> ENDPOINT =
            Key.required("address", ValueType.address(1), "where it listens").changeable();
    static final Key<String> ENDPOINT_ZONE = Key.optional(
                    "zone", ValueType.word(), null, "one of fleet.zones; the first of them if not given")
            .changeable();
    static final Key<Integer> ENDPOINT_RACK = Key.optional(
                    "rack", ValueType.whole(0, 1_000_000), "0", "those of one rack drop the repeats of a keyed request")
            .changeable();
    static final Key<Double> ENDPOINT_WEIGHT = Key.optional(
                    "weight", ValueType.number(0.001, 1000), "1.0", "its size, where fleet.weighted is true")
            .changeable();
    static final Key<State> ENDPOINT_STATE = Key.optional(
                    "state",
                    ValueType.choice(State.class, "gone", "in-service", "draining"),
                    "\"in-service\"",
                    "draining: it finishes what it has and gets nothing new")
            .changeable();

    static final Key<List<String>> ZONES =
            Key.optional("zones", ValueType.words(64), "[\"default\"]", "the names of the zones");
    static final Key<String> OWN_ZONE =
            Key.optional("own-zone", ValueType.word(), null, "the zone that this edge is in; the first if not given");
    static final Key<Boolean> WEIGHTED =
            Key.optional("weighted", ValueType.flag(), "false", "whether endpoints of more weight get more calls");

    static final Key<String> CLASS_NAME = Key.required("name", ValueType.word(), "what clients write in X-Class");
    static final Key<Effect> EFFECT = Key.optional(
            "effect",
            ValueType.choice(Effect.class, "repeatable", "keyed", "once"),
            "\"once\"",
            "repeatable: safe to send again; keyed: a rack drops repeats; once: not again if it may have run");
    static final Key<Double> AIM =
            Key.required("aim", ValueType.duration(1, HOUR_MS), "the time within which an answer is wanted");
    static final Key<Double> DEADLINE =
            Key.required("deadline", ValueType.duration(1, HOUR_MS), "the longest that a client may wait");
    static final Key<Double> WORTH = Key.optional(
            "worth", ValueType.number(0, 1_000_000), "1.0", "under pressure the requests of most worth come first");
    static final Key<Double> LATE_WORTH =
            Key.optional("late-worth", ValueType.number(0, 1_000_000), "0.0", "what an answer after the aim is worth");
    static final Key<Group> KEY_SCOPE = Key.optional(
            "key-scope",
            ValueType.choice(Group.class, "all", "zone", "rack"),
            "\"all\"",
            "which endpoints drop a keyed request's repeats");
    static final Key<Double> KEY_WINDOW = Key.optional(
            "key-window", ValueType.duration(1, HOUR_MS), null, "for how long they do; a keyed class must have it");

    static final Key<String> TENANT = Key.required("name", ValueType.word(), "what clients write in X-Tenant");
    static final Key<Double> RATE = Key.required(
            "rate", ValueType.number(0, 1_000_000), "requests a second, over all edges, that are within its share");

    static final Key<Long> MEMORY = Key.optional(
            "memory",
            ValueType.size(32L << 20, 64L << 30),
            "\"192MiB\"",
            "what the edge's processes may take together");
    static final Key<Integer> DESCRIPTORS = Key.optional(
            "descriptors",
            ValueType.whole(96, 1 << 20),
            "1024",
            "what the process may hold; connections of clients and to endpoints share it");
    static final Key<Integer> ATTEMPTS = Key.optional(
            "attempts", ValueType.whole(1, 16), "3", "the most attempts for one request, never two at once");
    static final Key<Double> CONNECT_TIMEOUT = Key.optional(
            "connect-timeout",
            ValueType.duration(1, MINUTE_MS),
            "\"200ms\"",
            "a connection that is not up by then has failed");
    static final Key<Double> IDLE_TIMEOUT = Key.optional(
            "idle-timeout",
            ValueType.duration(100, HOUR_MS),
            "\"15s\"",
            "after so long an endpoint closes an idle connection; the edge does so before");
    static final Key<Double> RETRY_AFTER = Key.optional(
            "retry-after",
            ValueType.duration(0, HOUR_MS),
            "\"2s\"",
            "the longest that a client is told to stay away; a refusal tells a quarter of it");

    static final Key<Integer> BALANCERS =
            Key.optional("balancers", ValueType.whole(1, 100_000), "1", "how many edges send to these endpoints");
    static final Key<Integer> NUMBER =
            Key.optional("number", ValueType.whole(0, 99_999), "0", "which of them this one is, counted from 0");
    static final Key<Integer> TIER = Key.optional(
            "tier",
            ValueType.whole(0, 16),
            "0",
            "0 turns calls away where all is busy; deeper tiers carry work done above and do not");
    static final Key<Double> OVER_SHARE = Key.optional(
            "over-share-worth",
            ValueType.number(0, 1),
            "0.2",
            "what a request beyond its tenant's share is worth, as a part");
    static final Key<Double> CROSS_ZONE =
            Key.optional("cross-zone-price", ValueType.number(0, 1000), "0.0", "what it costs to call another zone");

    static final Key<Double> COLD_SHARE = Key.optional(
            "share",
            ValueType.number(0.01, 1),
            "0.3",
            "the part of its work that an endpoint can do just after its start");
    static final Key<Double> COLD_TIME =
            Key.optional("duration", ValueType.duration(0, HOUR_MS), "\"10s\"", "after so long it is warm");
    static final Key<Double> TIP = Key.optional(
            "overload-multiple", ValueType.number(1, 1000), "3.0", "so many times what it can do then is too much");
    static final Key<Double> TIP_WINDOW =
            Key.optional("overload-window", ValueType.duration(1, MINUTE_MS), "\"3s\"", "for so long");
    static final Key<Double> GRACE = Key.optional(
            "grace",
            ValueType.duration(0, MINUTE_MS),
            "\"1s\"",
            "an endpoint that drains gets nothing new after this time");

    static final Key<LogSettings.Format> FORMAT = Key.optional(
            "format",
            ValueType.choice(LogSettings.Format.class, "plain", "text", "json"),
            "\"text\"",
            "plain: the message alone; text: with time, level and logger; json: one object a line");
    static final Key<Severity> LEVEL = Key.optional(
                    "level",
                    ValueType.choice(Severity.class, "debug", "info", "warn", "error"),
                    "\"info\"",
                    "from which severity on events are written")
            .changeable();
    static final Key<Map<String, Severity>> LEVELS = Key.<Map<String, Severity>>optional(
                    "levels", ValueType.levels(), "{}", "the same for some loggers alone")
            .changeable();
    static final Key<Integer> WAITING = Key.optional(
            "queue",
            ValueType.whole(16, 65_536),
            "1024",
            "events that wait for a slow reader; more are dropped and counted");

    static final Key<InetSocketAddress> CONTROL_ADDRESS =
            Key.required("address", ValueType.address(0), "where sidecars and other control nodes watch");
    static final Key<String> REGION =
            Key.optional("region", ValueType.word(), "\"default\"", "the region that the node is in");
    static final Key<Integer> WATCHERS =
            Key.optional("watchers", ValueType.whole(1, 65_536), "4096", "sidecars that may watch at once");
    static final Key<Double> ANSWER_GAP = Key.optional(
            "answer-gap",
            ValueType.duration(1, MINUTE_MS),
            "\"150ms\"",
            "while changes pour one watcher gets at most one answer in this time");
    static final Key<String> PEER_NAME = Key.required("name", ValueType.word(), "its name");
    static final Key<InetSocketAddress> PEER_ADDRESS =
            Key.required("address", ValueType.address(1), "its control.address");
    static final Key<String> PEER_REGION =
            Key.optional("region", ValueType.word(), "\"default\"", "its control.region");

    static final Table ROOT = new Table("", 0, "the edge itself", List.of(NAME, STATE_DIR, SEED));
    static final Table LISTENERS =
            new Table("listeners", 8, "where clients connect; at least one", List.of(LISTENER, PROTOCOL));
    static final Table ADMIN_TABLE = new Table("admin", 0, "the operators' door", List.of(ADMIN));
    static final Table LIST = new Table(
            "discovery",
            0,
            "a list of endpoints that is watched",
            List.of(DISCOVERY, DISCOVERY_WAIT, NODES, FALLBACKS, SERVICES, DOCUMENT));
    static final Table ENDPOINTS = new Table(
            "endpoints",
            1024,
            "a fixed list, or the one to start from where there is discovery",
            List.of(ENDPOINT_ID, ENDPOINT, ENDPOINT_ZONE, ENDPOINT_RACK, ENDPOINT_WEIGHT, ENDPOINT_STATE));
    static final Table FLEET =
            new Table("fleet", 0, "what all endpoints have in common", List.of(ZONES, OWN_ZONE, WEIGHTED));
    static final Table CLASSES = new Table(
            "classes",
            64,
            "the classes of requests; at least one",
            List.of(CLASS_NAME, EFFECT, AIM, DEADLINE, WORTH, LATE_WORTH, KEY_SCOPE, KEY_WINDOW));
    static final Table TENANTS = new Table(
            "tenants", 1024, "who sends requests; without any, nobody's share is counted", List.of(TENANT, RATE));
    static final Table LIMITS = new Table(
            "limits",
            0,
            "what the machine and the site allow",
            List.of(MEMORY, DESCRIPTORS, ATTEMPTS, CONNECT_TIMEOUT, IDLE_TIMEOUT, RETRY_AFTER));
    static final Table BALANCING = new Table(
            "balancing", 0, "this edge among its peers", List.of(BALANCERS, NUMBER, TIER, OVER_SHARE, CROSS_ZONE));
    static final Table COLD_START = new Table(
            "cold-start", 0, "endpoints that have just started", List.of(COLD_SHARE, COLD_TIME, TIP, TIP_WINDOW));
    static final Table DRAIN = new Table("drain", 0, "endpoints that are withdrawn", List.of(GRACE));
    static final Table LOGGING =
            new Table("logging", 0, "the log, on standard error", List.of(FORMAT, LEVEL, LEVELS, WAITING));

    static final Table CONTROL = new Table(
            "control",
            0,
            "a control node, in a file of its own: lemonrail control --config FILE",
            List.of(CONTROL_ADDRESS, REGION, WATCHERS, ANSWER_GAP));
    static final Table PEERS = new Table(
            "peers",
            32,
            "all control nodes, in a control node's file; the one of its own name is left out",
            List.of(PEER_NAME, PEER_ADDRESS, PEER_REGION));

    /** What a settings document of the control nodes may change while edges run. */
    private static final Key<Double> ANY_AIM = Key.optional("aim", AIM.type(), null, AIM.meaning());

    private static final Key<Double> ANY_DEADLINE = Key.optional("deadline", DEADLINE.type(), null, DEADLINE.meaning());
    private static final Key<Double> ANY_WORTH = Key.optional("worth", WORTH.type(), null, WORTH.meaning());
    private static final Key<Double> ANY_LATE_WORTH =
            Key.optional("late-worth", LATE_WORTH.type(), null, LATE_WORTH.meaning());
    static final Key<Integer> ANY_ATTEMPTS = Key.optional("attempts", ATTEMPTS.type(), null, ATTEMPTS.meaning());
    static final Key<Double> ANY_RETRY_AFTER =
            Key.optional("retry-after", RETRY_AFTER.type(), null, RETRY_AFTER.meaning());
    static final Map<String, Key<Double>> OF_CLASS =
            Map.of("aim", ANY_AIM, "deadline", ANY_DEADLINE, "worth", ANY_WORTH, "late-worth", ANY_LATE_WORTH);
    static final Table LIVE_ROOT = new Table("", 0, "a settings document", List.of());
    static final Table LIVE_CLASSES = new Table(
            "classes",
            64,
            "classes by their names",
            List.of(CLASS_NAME, ANY_AIM, ANY_DEADLINE, ANY_WORTH, ANY_LATE_WORTH));
    static final Table LIVE_LIMITS = new Table("limits", 0, "limits", List.of(ANY_ATTEMPTS, ANY_RETRY_AFTER));

    static final List<Table> TABLES = List.of(
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
