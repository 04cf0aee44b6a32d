package lemonrail.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.replication.NodeSelector;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.core.replication.WatcherReplica;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/**
 * Watches endpoints and a settings document at one of several control nodes. What is known is kept from node to
 * node, and only changes are passed on. Belongs to the event loop.
 */
public final class ControlClient {

    /** How long a request waits for an update unless the configuration says so. */
    private static final int DEFAULT_WAIT_MS = 2_000;
    /** The additional time until a response is overdue, and the time for a connection. */
    private static final int RESPONSE_GRACE_MS = 1_000;

    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int STATUS_OK = 200;
    private static final double NANOS_PER_MS = 1e6;
    /** No version is known: the next request asks for a full snapshot. */
    private static final long NO_VERSION = -1;

    /**
     * What is watched, and where.
     *
     * @param watcher the watcher's name, as operators see it
     * @param regionNodes the control nodes of its region
     * @param fallbackNodes those of other regions, used while none of the former responds
     * @param services whose endpoints are watched; all if empty
     * @param document the settings document that it follows, or null
     * @param waitMs how long a request waits for an update, or null for the default
     */
    public record Subscription(
            String watcher,
            List<InetSocketAddress> regionNodes,
            List<InetSocketAddress> fallbackNodes,
            List<String> services,
            String document,
            Double waitMs) {}

    private final EventLoop loop;
    private final Clock clock;
    private final Subscription subscription;
    private final EndpointList.Names names;
    private final EventLog log;
    private final NodeSelector selector;
    private final Map<String, InetSocketAddress> addressByNode = new LinkedHashMap<>();
    private final WatchClient client;
    private final WatcherReplica replica = new WatcherReplica();
    private final SettingsSubscription settings;
    private EndpointListListener listener;
    private long version = NO_VERSION;
    /** Identifies the process that the version is of. */
    private String bootId = "";

    private boolean hasSnapshot;
    private boolean closed;
    private Future<?> pendingRetry;

    /**
     * Creates a client, which watches from the first {@link #watch} on.
     *
     * @param seed of the random times of the node selection
     */
    public ControlClient(
            EventLoop loop, Clock clock, Subscription subscription, EndpointList.Names names, long seed, EventLog log) {
        this.loop = loop;
        this.clock = clock;
        this.subscription = subscription;
        this.names = names;
        this.log = log.forComponent("discovery");
        settings = new SettingsSubscription(subscription.document(), this.log);
        selector = new NodeSelector(
                subscription.watcher(),
                registerNodes(subscription.regionNodes()),
                registerNodes(subscription.fallbackNodes()),
                seed);
        client = new WatchClient(loop, RESPONSE_GRACE_MS, MAX_RESPONSE_BYTES, new WatchClient.Listener() {
            @Override
            public void onResponse(int status, byte[] body) {
                handleResponse(status, body);
            }

            @Override
            public void onFailure(Object reason) {
                handleFailure(reason);
            }
        });
    }

    /** Returns the nodes' names, which are their addresses. */
    private List<String> registerNodes(List<InetSocketAddress> addresses) {
        List<String> nodes = new ArrayList<>();
        for (InetSocketAddress address : addresses) {
            String node = address.getAddress().getHostAddress() + ":" + address.getPort();
            addressByNode.put(node, address);
            nodes.add(node);
        }
        return nodes;
    }

    /** Sets the receiver of the endpoint lists. */
    public void setListener(EndpointListListener newListener) {
        listener = newListener;
    }

    /** Sets the receiver of settings documents; without one all are rejected. */
    public void setSettingsHandler(SettingsHandler handler) {
        settings.setHandler(handler);
    }

    /** Starts the watch; one that runs goes on, a pending backoff included. */
    public void watch() {
        if (!closed && !client.isInFlight() && pendingRetry == null) {
            sendRequest();
        }
    }

    /** Ends the watch. */
    public void close() {
        if (pendingRetry != null) {
            pendingRetry.cancel(false);
            pendingRetry = null;
        }
        closed = true;
        client.close();
    }

    /** Returns the digest over all known entries, as the nodes calculate it. */
    public long digest() {
        return replica.digest();
    }

    /** Returns the number of known entries. */
    public int entryCount() {
        return replica.size();
    }

    private void sendRequest() {
        int waitMs = waitMs();
        client.send(addressByNode.get(selector.currentNode()), requestUri(waitMs), waitMs + RESPONSE_GRACE_MS);
    }

    private int waitMs() {
        if (version < 0) {
            return 0;
        }
        return subscription.waitMs() == null
                ? DEFAULT_WAIT_MS
                : subscription.waitMs().intValue();
    }

    private String requestUri(int waitMs) {
        WatchUri uri = new WatchUri()
                .addEncoded("name", subscription.watcher())
                .add("digest", Long.toHexString(replica.digest()));
        if (!subscription.services().isEmpty()) {
            uri.add("service", String.join(",", subscription.services()));
        }
        if (version >= 0) {
            uri.add("index", version).add("wait", waitMs).addEncoded("from", bootId);
        }
        settings.appendTo(uri);
        return uri.build();
    }

    private void handleFailure(Object reason) {
        client.close();
        log.warnRateLimited("discovery_failed", "discovery failed", reason, "address", selector.currentNode());
        double backoffMs = selector.onFailure(clock.now());
        pendingRetry = loop.schedule(
                () -> {
                    pendingRetry = null;
                    sendRequest();
                },
                (long) (backoffMs * NANOS_PER_MS),
                TimeUnit.NANOSECONDS);
    }

    private void handleResponse(int status, byte[] body) {
        if (status != STATUS_OK) {
            handleFailure("status " + status);
            return;
        }
        ControlResponse response;
        EndpointList changes;
        try {
            response = ControlResponse.parse(body, names, subscription.document());
            changes = apply(response);
        } catch (IOException | IllegalArgumentException e) {
            handleFailure(e.getMessage());
            return;
        } catch (RuntimeException e) {
            // Any other failure must not end the watch.
            log.error("a response of a control node", e);
            handleFailure(e);
            return;
        }
        if (selector.onResponse(clock.now(), response.replicationAgeMs())) {
            log.info(
                    "control_node",
                    "watching at " + selector.currentNode() + " from now on",
                    "address",
                    selector.currentNode());
        }
        // The next request goes out first: the node expects it soon after its response.
        sendRequest();
        if (changes.full() || !changes.entries().isEmpty()) {
            listener.onEndpointList(changes);
        }
    }

    /** Applies a response and returns the changes: a full list the first time, a delta from then on. */
    private EndpointList apply(ControlResponse response) {
        List<EndpointList.Entry> changes = new ArrayList<>();
        List<WatcherReplica.Key> listed = new ArrayList<>();
        for (ControlResponse.EndpointVersion endpoint : response.endpoints()) {
            listed.add(endpoint.key());
            if (replica.apply(endpoint.key(), endpoint.timestamp(), endpoint.isRemoved())) {
                changes.add(endpoint.entry());
            }
        }
        for (ControlResponse.DocumentVersion document : response.documents()) {
            listed.add(document.key());
            if (replica.apply(document.key(), document.timestamp(), document.isRemoved())) {
                settings.onVersion(document.text(), document.timestamp());
            }
        }
        if (response.full()) {
            replica.retainListed(listed, response.acknowledgedVersions()).forEach(key -> removeDropped(key, changes));
        }
        boolean isFirst = !hasSnapshot;
        hasSnapshot = true;
        bootId = response.bootId();
        version = response.version();
        return new EndpointList(version, isFirst, changes);
    }

    private void removeDropped(WatcherReplica.Key key, List<EndpointList.Entry> changes) {
        if (VersionedEntry.isSettingsTopic(key.topic())) {
            settings.onRemoved();
        } else {
            Endpoint removed = new Endpoint(key.id(), -1, -1, 0, 0, EndpointState.GONE, 1);
            changes.add(new EndpointList.Entry(removed, null));
        }
    }
}
