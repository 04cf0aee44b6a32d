package lemonrail.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import lemonrail.config.ControlConfig.Peer;
import lemonrail.discovery.WatchClient;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/** Replicates from one peer by a watch with one request in flight at a time. Belongs to the event loop. */
final class PeerReplicator {

    /** How long the peer holds a request open for an update. */
    private static final int WAIT_MS = 1_000;
    /** The time allowed for a response beyond its wait. */
    private static final int RESPONSE_GRACE_MS = 1_000;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** The lower bound of the random backoff after a failure. */
    private static final int MIN_BACKOFF_MS = 100;

    private static final int MAX_BACKOFF_MS = 400;
    private static final int MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
    private static final int STATUS_OK = 200;
    /** The version while none is known; the next request then asks for a full snapshot. */
    private static final long NO_VERSION = -1;

    /** Receives the peer's responses. */
    interface Listener {
        /**
         * Called with each response, to merge it. If this throws, the watch fails and the next request asks for a
         * full snapshot.
         */
        void onPeerResponse(Peer peer, PeerResponse response);
    }

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final String ownName;
    private final Peer peer;
    private final Listener listener;
    private final WatchClient client;
    private Future<?> pendingRetry;
    private boolean stopped = true;
    private String bootId = "";
    private long version = NO_VERSION;
    private double lastResponseAtMs;
    private boolean reached;
    private Object watcherSummary;

    PeerReplicator(EventLoop loop, Clock clock, EventLog log, String ownName, Peer peer, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.ownName = ownName;
        this.peer = peer;
        this.listener = listener;
        lastResponseAtMs = clock.now();
        client = new WatchClient(loop, CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES, new WatchClient.Listener() {
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

    Peer peer() {
        return peer;
    }

    /** Returns the time since the peer's last response, or since this replicator was created if there was none. */
    double ageMs() {
        return clock.now() - lastResponseAtMs;
    }

    boolean wasReached() {
        return reached;
    }

    PeerStatus status() {
        return new PeerStatus(peer.name(), peer.region(), reached, (long) ageMs(), watcherSummary);
    }

    /** Starts the watch unless it is running. */
    void start() {
        if (stopped) {
            stopped = false;
            sendRequest();
        }
    }

    void stop() {
        stopped = true;
        if (pendingRetry != null) {
            pendingRetry.cancel(false);
            pendingRetry = null;
        }
        client.close();
    }

    private void sendRequest() {
        String resumption = version < 0 ? "" : "&index=" + version + "&wait=" + WAIT_MS + "&from=" + bootId;
        client.send(peer.address(), "/registry/instances?peer=" + ownName + resumption, WAIT_MS + RESPONSE_GRACE_MS);
    }

    private void handleFailure(Object reason) {
        client.close();
        log.warnRateLimited(
                "peer_failed", "replication from control node " + peer.name() + " failed", reason, "node", peer.name());
        pendingRetry = loop.schedule(
                () -> {
                    pendingRetry = null;
                    sendRequest();
                },
                ThreadLocalRandom.current().nextLong(MIN_BACKOFF_MS, MAX_BACKOFF_MS),
                TimeUnit.MILLISECONDS);
    }

    private void handleResponse(int status, byte[] body) {
        if (status != STATUS_OK) {
            handleFailure("HTTP status " + status);
            return;
        }
        try {
            merge(PeerResponse.decode(body, this::logInvalidEntry));
        } catch (RuntimeException e) {
            if (!(e instanceof IllegalArgumentException)) {
                log.error("failed to handle a response of control node " + peer.name(), e);
            }
            // Request a full snapshot, because the entries of this response must be sent again.
            version = NO_VERSION;
            handleFailure(e.getMessage());
            return;
        }
        sendRequest();
    }

    private void logInvalidEntry(String problem) {
        log.warnRateLimited(
                "item_unreadable",
                "skipped an entry of control node " + peer.name() + " because it is invalid",
                problem);
    }

    private void merge(PeerResponse response) {
        listener.onPeerResponse(peer, response);
        bootId = response.bootId();
        version = response.version();
        lastResponseAtMs = clock.now();
        reached = true;
        watcherSummary = response.watcherSummary();
    }
}
