package lemonrail.control;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;

/**
 * The watch protocol on one connection, one request at a time. A request is answered at once with a full
 * snapshot or a delta if there is an update, and else when there is one or its wait is over. Updates are
 * paced. Belongs to the event loop.
 */
final class WatchSession {

    /** The minimum time between two updates to a peer. */
    private static final double PEER_RESPONSE_GAP_MS = 20;

    private static final double NANOS_PER_MS = 1e6;

    /** Sends the response of the current request. */
    interface Responder {
        /** Sends a response; the session's request must have been ended before it returns. */
        void respond(ByteBuf body);

        /** The request waits for an update. */
        void onWaiting();
    }

    private enum State {
        /** No request is in progress. */
        IDLE,
        /** A request is in progress: it waits for an update, for its pace, or is being answered. */
        REQUEST_IN_PROGRESS
    }

    private enum Replica {
        /** The watcher may lack entries or have some too many. */
        UNVERIFIED,
        /** Its digest was equal, or it got a full snapshot: deltas are enough from then on. */
        IN_SYNC
    }

    private final WatchContext context;
    private final Responder responder;
    private State state = State.IDLE;
    private Replica replica = Replica.UNVERIFIED;
    /** The current request; only valid while one is in progress. */
    private WatchRequest request;
    /** The watcher has everything up to this version. */
    private long sinceVersion;

    private Future<?> waitTimeout;
    private Future<?> pacedResponse;
    private double nextUpdateAtMs;

    WatchSession(WatchContext context, Responder responder) {
        this.context = context;
        this.responder = responder;
    }

    boolean isRequestInProgress() {
        return state == State.REQUEST_IN_PROGRESS;
    }

    /** Starts a request, and answers it at once if there is an update. */
    void start(WatchRequest newRequest) {
        request = newRequest;
        state = State.REQUEST_IN_PROGRESS;
        if (newRequest.isFromPeer()) {
            startPeerRequest();
        } else {
            startSidecarRequest();
        }
    }

    /** Ends the current request, if any, without a response. */
    void end() {
        state = State.IDLE;
        if (waitTimeout != null) {
            waitTimeout.cancel(false);
            waitTimeout = null;
        }
        if (pacedResponse != null) {
            pacedResponse.cancel(false);
            pacedResponse = null;
        }
    }

    private void startPeerRequest() {
        ReplicatedStore store = context.store();
        if (request.wantsFullSnapshot() || !isOfThisProcess()) {
            responder.respond(context.responses().toPeer(store.allEntries(), true, head()));
            return;
        }
        sinceVersion = request.version();
        if (entriesForPeer().isEmpty()) {
            awaitUpdate();
        } else {
            respondWhenPaced();
        }
    }

    private void startSidecarRequest() {
        List<String> topics = context.topics(request);
        boolean canVerify = request.digest() != null || replica == Replica.IN_SYNC;
        if (request.wantsFullSnapshot() || !canVerify) {
            respondWithFullSnapshot(topics);
            return;
        }
        sinceVersion = isOfThisProcess() || replica == Replica.IN_SYNC
                ? request.version()
                : ReplicatedStore.rewind(request.version(), WatchServer.VERSION_OVERLAP_MS);
        if (replica == Replica.UNVERIFIED && context.store().digest(topics) == request.digest()) {
            replica = Replica.IN_SYNC;
            sinceVersion = context.store().currentVersion((long) context.clock().now());
        }
        if (context.store().hasNewer(topics, sinceVersion)) {
            respondWhenPaced();
        } else if (replica == Replica.IN_SYNC) {
            awaitUpdate();
        } else {
            respondWithFullSnapshot(topics);
        }
    }

    private boolean isOfThisProcess() {
        return request.bootId().equals(context.bootId());
    }

    private void respondWithFullSnapshot(List<String> topics) {
        replica = Replica.IN_SYNC;
        responder.respond(context.responses().fullSnapshot(topics, head()));
    }

    private void awaitUpdate() {
        responder.onWaiting();
        waitTimeout = context.loop().schedule(this::respondWithDelta, request.waitMs(), TimeUnit.MILLISECONDS);
    }

    /** Answers the current request if the topics concern it. */
    void onTopicsChanged(Set<String> topics) {
        if (state == State.REQUEST_IN_PROGRESS && request.watchesAnyOf(topics)) {
            respondWhenPaced();
        }
    }

    private void respondWhenPaced() {
        double delayMs = nextUpdateAtMs - context.clock().now();
        if (delayMs <= 0) {
            // What this peer itself has sent is no update for it.
            if (!request.isFromPeer() || !entriesForPeer().isEmpty()) {
                respondWithDelta();
            }
        } else if (pacedResponse == null) {
            pacedResponse = context.loop()
                    .schedule(this::sendPacedResponse, (long) (delayMs * NANOS_PER_MS), TimeUnit.NANOSECONDS);
        }
    }

    private void sendPacedResponse() {
        pacedResponse = null;
        respondWithDelta();
    }

    private void respondWithDelta() {
        if (state == State.IDLE) {
            return;
        }
        if (request.isFromPeer()) {
            respondToPeerWithDelta();
        } else {
            respondToSidecarWithDelta();
        }
    }

    private void respondToPeerWithDelta() {
        List<VersionedEntry> entries = entriesForPeer();
        ByteBuf body = context.responses().toPeer(entries, false, head());
        if (!entries.isEmpty()) {
            nextUpdateAtMs = context.clock().now() + PEER_RESPONSE_GAP_MS;
        }
        responder.respond(body);
    }

    private void respondToSidecarWithDelta() {
        List<String> topics = context.topics(request);
        boolean hasUpdate = context.store().hasNewer(topics, sinceVersion);
        ByteBuf body = context.responses().delta(topics, sinceVersion, head());
        if (hasUpdate) {
            nextUpdateAtMs = context.clock().now() + context.responseGapMs();
        }
        responder.respond(body);
    }

    private List<VersionedEntry> entriesForPeer() {
        return context.store().entriesForPeerSince(request.peer(), sinceVersion);
    }

    private WatchResponseHead head() {
        return context.node().responseHead(request);
    }
}
