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
 * Watches endpoints and a settings document at one control node at a time, chosen from several. The replica of
 * the entries is kept when the client moves to another node, so that the listener receives only changes. Belongs
 * to the event loop.
 */
public final class ControlClient {

    /** How long the node holds a request open for an update if the subscription sets no wait. */
    private static final int DEFAULT_WAIT_MS = 2_000;
    /** The time allowed for a response beyond its wait; also the connect timeout. */
    private static final int RESPONSE_GRACE_MS = 1_000;

    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int STATUS_OK = 200;
    private static final double NANOS_PER_MS = 1e6;
    /** The version while none is known; the next request then asks for a full snapshot. */
    private static final long NO_VERSION = -1;

    /**
     * The services and the document to watch, and the control nodes to watch them at.
     *
     * @param watcher the watcher's name, shown to operators
     * @param regionNodes the control nodes of the watcher's region
     * @param fallbackNodes the control nodes of other regions, used while no node of {@code regionNodes} responds
     * @param services the services whose endpoints are watched; all services if empty
     * @param document the name of the settings document to follow, or null for none
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
    /** Identifies the node process that issued the version; versions of two processes cannot be compared. */
    private String bootId = "";

    private boolean hasSnapshot;
    private boolean closed;
    private Future<?> pendingRetry;

    /**
     * Creates a client without a request; the first call of {@link #watch} starts the watch.
     *
     * @param seed the seed of the random times that the node selection uses
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

    /** Registers each address under its node's name, {@code ip:port}, and returns the names. */
    private List<String> registerNodes(List<InetSocketAddress> addresses) {
        List<String> nodes = new ArrayList<>();
        for (InetSocketAddress address : addresses) {
            String node = address.getAddress().getHostAddress() + ":" + address.getPort();
            addressByNode.put(node, address);
            nodes.add(node);
        }
        return nodes;
    }

    /** Sets the listener that receives the endpoint lists; needed before the first response. */
    public void setListener(EndpointListListener newListener) {
        listener = newListener;
    }

    /** Sets the handler that applies settings documents; without a handler every document is rejected. */
    public void setSettingsHandler(SettingsHandler handler) {
        settings.setHandler(handler);
    }

    /** Starts the watch. Does nothing while a request is in flight or a retry is pending, or after {@link #close}. */
    public void watch() {
        if (!closed && !client.isInFlight() && pendingRetry == null) {
            sendRequest();
        }
    }

    /** Ends the watch and closes the connection; the watch cannot be started again. */
    public void close() {
        if (pendingRetry != null) {
            pendingRetry.cancel(false);
            pendingRetry = null;
        }
        closed = true;
        client.close();
    }

    /** Returns the digest over all live entries of the replica, calculated in the same way as by the nodes. */
    public long digest() {
        return replica.digest();
    }

    /** Returns the number of live entries in the replica. */
    public int entryCount() {
        return replica.size();
    }

    private void sendRequest() {
        int waitMs = nextWaitMs();
        client.send(addressByNode.get(selector.currentNode()), requestUri(waitMs), waitMs + RESPONSE_GRACE_MS);
    }

    private int nextWaitMs() {
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
        log.warnRateLimited("discovery_failed", "endpoint discovery failed", reason, "address", selector.currentNode());
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
            handleFailure("HTTP status " + status);
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
            // An unexpected exception must not end the watch.
            log.error("failed to apply a control node's response", e);
            handleFailure(e);
            return;
        }
        if (selector.onResponse(clock.now(), response.replicationAgeMs())) {
            log.info(
                    "control_node",
                    "control node " + selector.currentNode() + " is watched now",
                    "address",
                    selector.currentNode());
        }
        // Send the next request before the listener runs, because the node expects it soon after its response.
        sendRequest();
        if (changes.full() || !changes.entries().isEmpty()) {
            listener.onEndpointList(changes);
        }
    }

    /** Applies a response to the replica and returns the changes: a full list the first time, then deltas. */
    private EndpointList apply(ControlResponse response) {
        List<EndpointList.Entry> changes = new ArrayList<>();
        List<WatcherReplica.Key> listedKeys = new ArrayList<>();
        for (ControlResponse.EndpointVersion endpoint : response.endpoints()) {
            listedKeys.add(endpoint.key());
            if (replica.apply(endpoint.key(), endpoint.timestamp(), endpoint.isRemoved())) {
                changes.add(endpoint.entry());
            }
        }
        for (ControlResponse.DocumentVersion document : response.documents()) {
            listedKeys.add(document.key());
            if (replica.apply(document.key(), document.timestamp(), document.isRemoved())) {
                settings.onVersion(document.text(), document.timestamp());
            }
        }
        if (response.full()) {
            replica.retainListed(listedKeys, response.acknowledgedVersions())
                    .forEach(key -> removeDropped(key, changes));
        }
        boolean isFirstResponse = !hasSnapshot;
        hasSnapshot = true;
        bootId = response.bootId();
        version = response.version();
        return new EndpointList(version, isFirstResponse, changes);
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
