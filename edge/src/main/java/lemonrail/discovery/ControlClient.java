package lemonrail.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.NodeSelector;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.core.replication.WatcherReplica;
import lemonrail.json.Json;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/**
 * Watches at one of several control nodes, by the platform's protocol with their further parameters. What
 * is known goes on from node to node; only what has changed is passed on.
 */
public final class ControlClient {

    /** How long a call waits for news unless the configuration says so, and how much more is silence. */
    private static final int USUAL_WAIT_MS = 2_000;

    private static final int SILENCE_MS = 1_000;
    private static final int MOST_BODY = 16 * 1024 * 1024;
    private static final int MOST_WHY = 200;

    /**
     * What is watched, and where.
     *
     * @param name the watcher's, as the operators see it
     * @param addresses the control nodes of its region
     * @param fallbacks those of others, asked once none of the former answers
     * @param services whose endpoints are wanted; all where there are none
     * @param document the settings document that it follows, or null
     * @param waitMs how long a call waits for news, or null for the usual time
     */
    public record Plan(
            String name,
            List<InetSocketAddress> addresses,
            List<InetSocketAddress> fallbacks,
            List<String> services,
            String document,
            Double waitMs) {}

    /** What comes of the settings document. */
    public interface Settings {
        /** Takes a document, or null for none any more, as a whole or not at all; null, or why not. */
        String told(String text);
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Plan plan;
    private final EndpointList.Names names;
    private final EventLog log;
    private final NodeSelector route;
    private final Map<String, InetSocketAddress> places = new LinkedHashMap<>();
    private final WatchClient link;
    private final WatcherReplica replica = new WatcherReplica();
    private DiscoveryClient.Listener listener;
    private Settings settings = text -> "this edge takes no settings while it runs";
    private long version = -1;
    private String from = "";
    private HybridTimestamp inForce = HybridTimestamp.NONE;
    private HybridTimestamp refused;
    private String why = "";
    private boolean heard;
    private boolean closed;
    private Future<?> retry;

    /** A client by this plan, which watches from the first {@link #watch} on. */
    public ControlClient(EventLoop loop, Clock clock, Plan plan, EndpointList.Names names, long seed, EventLog log) {
        this.loop = loop;
        this.clock = clock;
        this.plan = plan;
        this.names = names;
        this.log = log.in("discovery");
        route = new NodeSelector(plan.name(), texts(plan.addresses()), texts(plan.fallbacks()), seed);
        link = new WatchClient(loop, SILENCE_MS, MOST_BODY, new WatchClient.Listener() {
            @Override
            public void answered(int status, byte[] body) {
                take(status, body);
            }

            @Override
            public void failed(Object reason) {
                fail(reason);
            }
        });
    }

    private List<String> texts(List<InetSocketAddress> addresses) {
        List<String> texts = new ArrayList<>();
        for (InetSocketAddress address : addresses) {
            String text = address.getAddress().getHostAddress() + ":" + address.getPort();
            places.put(text, address);
            texts.add(text);
        }
        return texts;
    }

    /** Who hears of lists. */
    public void listen(DiscoveryClient.Listener hearer) {
        listener = hearer;
    }

    /** Who takes settings. */
    public void takeSettings(Settings taker) {
        settings = taker;
    }

    /** Starts the watch; one that is on goes on. */
    public void watch() {
        if (!closed && !link.isCalling() && retry == null) {
            ask();
        }
    }

    /** The digest over all items that are held, as the nodes count it. */
    public long digest() {
        return replica.digest();
    }

    /** Ends the watch. */
    public void close() {
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
        closed = true;
        link.end();
    }

    /** How many items are held. */
    public int known() {
        return replica.size();
    }

    private void ask() {
        int waitMs = version < 0
                ? 0
                : plan.waitMs() == null ? USUAL_WAIT_MS : plan.waitMs().intValue();
        StringBuilder uri = new StringBuilder("/registry/instances?name=")
                .append(encoded(plan.name()))
                .append("&digest=")
                .append(Long.toHexString(replica.digest()));
        if (!plan.services().isEmpty()) {
            uri.append("&service=").append(String.join(",", plan.services()));
        }
        if (version >= 0) {
            uri.append("&index=")
                    .append(version)
                    .append("&wait=")
                    .append(waitMs)
                    .append("&from=")
                    .append(encoded(from));
        }
        if (plan.document() != null) {
            uri.append("&settings=").append(plan.document());
            if (!inForce.equals(HybridTimestamp.NONE)) {
                uri.append("&inforce=").append(encoded(inForce.encode()));
            }
            if (refused != null) {
                uri.append("&refused=")
                        .append(encoded(refused.encode()))
                        .append("&why=")
                        .append(encoded(why));
            }
        }
        link.call(places.get(route.currentNode()), uri.toString(), waitMs + SILENCE_MS);
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private void fail(Object reason) {
        link.end();
        log.warnRateLimited("discovery_failed", "discovery failed", reason, "address", route.currentNode());
        double pauseMs = route.onFailure(clock.now());
        retry = loop.schedule(
                () -> {
                    retry = null;
                    ask();
                },
                (long) (pauseMs * 1e6),
                TimeUnit.NANOSECONDS);
    }

    private void take(int status, byte[] body) {
        if (status != 200) {
            fail("status " + status);
            return;
        }
        EndpointList news;
        double ageMs;
        try {
            if (!(Json.value(body) instanceof Map<?, ?> answer)) {
                throw new IOException("the list of endpoints is no object");
            }
            news = read(answer);
            ageMs = answer.get("age_ms") instanceof Double age ? age : 0;
        } catch (IOException | IllegalArgumentException e) {
            fail(e.getMessage());
            return;
        } catch (RuntimeException e) {
            // Whatever it is, the watch must go on.
            log.error("an answer of a control node", e);
            fail(e);
            return;
        }
        if (route.onResponse(clock.now(), ageMs)) {
            log.info(
                    "control_node",
                    "watching at " + route.currentNode() + " from now on",
                    "address",
                    route.currentNode());
        }
        // The next call goes out first: it must come soon after the answer for the watch to go on.
        ask();
        if (news.full() || !news.entries().isEmpty()) {
            listener.listed(news);
        }
    }

    /** Takes an answer in: what is news in it, as a whole list the first time and as changes from then on. */
    private EndpointList read(Map<?, ?> answer) throws IOException {
        EndpointList list = EndpointList.of(answer, names);
        if (!(answer.get("node") instanceof String node)) {
            throw new IOException("it is no control node");
        }
        List<WatcherReplica.Key> keys = new ArrayList<>();
        List<HybridTimestamp> stamps = new ArrayList<>();
        for (Object line : (List<?>) answer.get("servers")) {
            Map<?, ?> fields = (Map<?, ?>) line;
            keys.add(new WatcherReplica.Key(text(fields, "service"), text(fields, "id")));
            stamps.add(HybridTimestamp.parse(text(fields, "stamp")));
        }
        Map<String, HybridTimestamp> upTo = new LinkedHashMap<>();
        if (answer.get("heard") instanceof Map<?, ?> told) {
            told.forEach(
                    (origin, stamp) -> upTo.put(String.valueOf(origin), HybridTimestamp.parse(String.valueOf(stamp))));
        }
        // All that could be amiss has been read: from here on the answer is taken in as a whole.
        List<EndpointList.Entry> news = new ArrayList<>();
        for (int i = 0; i < keys.size(); i++) {
            EndpointList.Entry entry = list.entries().get(i);
            if (replica.apply(keys.get(i), stamps.get(i), entry.server().state() == EndpointState.GONE)) {
                news.add(entry);
            }
        }
        settings(answer, keys);
        if (list.full()) {
            for (WatcherReplica.Key gone : replica.retainListed(keys, upTo)) {
                if (gone.topic().startsWith(VersionedEntry.SETTINGS_TOPIC_PREFIX)) {
                    settle(null, HybridTimestamp.NONE);
                } else {
                    news.add(
                            new EndpointList.Entry(new Endpoint(gone.id(), -1, -1, 0, 0, EndpointState.GONE, 1), null));
                }
            }
        }
        boolean first = !heard;
        heard = true;
        from = node;
        version = list.version();
        return new EndpointList(version, first, news);
    }

    private static String text(Map<?, ?> fields, String name) throws IOException {
        if (fields.get(name) instanceof String text) {
            return text;
        }
        throw new IOException("field servers[]." + name + " is missing");
    }

    private void settings(Map<?, ?> answer, List<WatcherReplica.Key> keys) {
        if (!(answer.get("settings") instanceof List<?> documents)) {
            return;
        }
        for (Object each : documents) {
            if (each instanceof Map<?, ?> line
                    && plan.document() != null
                    && plan.document().equals(line.get("name"))) {
                WatcherReplica.Key key =
                        new WatcherReplica.Key(VersionedEntry.SETTINGS_TOPIC_PREFIX + plan.document(), plan.document());
                HybridTimestamp stamp = HybridTimestamp.parse(String.valueOf(line.get("stamp")));
                boolean gone = Boolean.TRUE.equals(line.get("gone"));
                if (replica.apply(key, stamp, gone)) {
                    settle(gone ? null : String.valueOf(line.get("text")), stamp);
                }
                keys.add(key);
            }
        }
    }

    private void settle(String text, HybridTimestamp stamp) {
        String problem = settings.told(text);
        if (problem == null) {
            inForce = text == null ? HybridTimestamp.NONE : stamp;
            refused = null;
            why = "";
            log.info(
                    "settings_taken",
                    "settings " + plan.document() + " are in force: " + stamp.encode(),
                    "document",
                    plan.document(),
                    "stamp",
                    stamp.encode());
        } else {
            refused = stamp;
            why = problem.substring(0, Math.min(MOST_WHY, problem.length()));
            log.warn(
                    "settings_refused",
                    "settings " + plan.document() + " stay as they were: " + problem,
                    "document",
                    plan.document(),
                    "stamp",
                    stamp.encode());
        }
    }
}
