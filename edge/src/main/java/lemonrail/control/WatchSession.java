package lemonrail.control;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;

/**
 * The watch protocol on one connection, one request at a time. If there is an update, a request is answered
 * immediately with a full snapshot or a delta; otherwise it is answered at the next update or when its wait ends.
 * There is a minimum time between two updates. Belongs to the event loop.
 */
final class WatchSession {

    /** The minimum time between two updates to a peer. */
    private static final double MIN_PEER_UPDATE_INTERVAL_MS = 20;

    private static final double NANOS_PER_MS = 1e6;

    /** Sends the response of the current request. */
    interface Responder {
        /** Sends a response, and calls {@link WatchSession#end} before returning. */
        void respond(ByteBuf body);

        /** Called when the current request starts to wait for an update. */
        void onWaiting();
    }

    private enum State {
        /** No request is in progress. */
        IDLE,
        /** A request waits for an update or for the minimum time between updates, or is being answered. */
        REQUEST_IN_PROGRESS
    }

    /** Whether the watcher's replica is known to match the store. */
    private enum Replica {
        /** The replica may lack entries or have entries that were removed. */
        UNVERIFIED,
        /** The digests were equal, or the watcher got a full snapshot, so that it needs only deltas. */
        IN_SYNC
    }

    private final WatchContext context;
    private final Responder responder;
    private State state = State.IDLE;
    private Replica replica = Replica.UNVERIFIED;
    /** The current request; valid only while a request is in progress. */
    private WatchRequest request;
    /** The version up to which the watcher has all entries. */
    private long sinceVersion;

    private Future<?> waitTimeout;
    private Future<?> delayedResponse;
    private double nextUpdateAtMs;

    WatchSession(WatchContext context, Responder responder) {
        this.context = context;
        this.responder = responder;
    }

    boolean isRequestInProgress() {
        return state == State.REQUEST_IN_PROGRESS;
    }

    /** Starts a request, and answers it immediately if there is an update. */
    void start(WatchRequest newRequest) {
        request = newRequest;
        state = State.REQUEST_IN_PROGRESS;
        if (newRequest.isFromPeer()) {
            startPeerRequest();
        } else {
            startSidecarRequest();
        }
    }

    /** Ends the current request, if any, and cancels its timers; sends no response. */
    void end() {
        state = State.IDLE;
        if (waitTimeout != null) {
            waitTimeout.cancel(false);
            waitTimeout = null;
        }
        if (delayedResponse != null) {
            delayedResponse.cancel(false);
            delayedResponse = null;
        }
    }

    private void startPeerRequest() {
        ReplicatedStore store = context.store();
        if (request.wantsFullSnapshot() || !isVersionOfThisProcess()) {
            responder.respond(context.responses().toPeer(store.allEntries(), true, responseHead()));
            return;
        }
        sinceVersion = request.version();
        if (entriesForPeer().isEmpty()) {
            awaitUpdate();
        } else {
            respondAfterMinInterval();
        }
    }

    private void startSidecarRequest() {
        List<String> topics = context.topics(request);
        boolean canVerify = request.digest() != null || replica == Replica.IN_SYNC;
        if (request.wantsFullSnapshot() || !canVerify) {
            respondWithFullSnapshot(topics);
            return;
        }
        sinceVersion = isVersionOfThisProcess() || replica == Replica.IN_SYNC
                ? request.version()
                : ReplicatedStore.rewind(request.version(), WatchServer.VERSION_OVERLAP_MS);
        if (replica == Replica.UNVERIFIED && context.store().digest(topics) == request.digest()) {
            replica = Replica.IN_SYNC;
            sinceVersion = context.store().currentVersion((long) context.clock().now());
        }
        if (context.store().hasNewer(topics, sinceVersion)) {
            respondAfterMinInterval();
        } else if (replica == Replica.IN_SYNC) {
            awaitUpdate();
        } else {
            respondWithFullSnapshot(topics);
        }
    }

    private boolean isVersionOfThisProcess() {
        return request.bootId().equals(context.bootId());
    }

    private void respondWithFullSnapshot(List<String> topics) {
        replica = Replica.IN_SYNC;
        responder.respond(context.responses().fullSnapshot(topics, responseHead()));
    }

    private void awaitUpdate() {
        responder.onWaiting();
        waitTimeout = context.loop().schedule(this::respondWithDelta, request.waitMs(), TimeUnit.MILLISECONDS);
    }

    /**
     * Answers the current request if it watches any of these topics, at once or at the end of the minimum interval. A
     * peer that would get no entries gets no answer at once.
     */
    void onTopicsChanged(Set<String> topics) {
        if (state == State.REQUEST_IN_PROGRESS && request.watchesAnyOf(topics)) {
            respondAfterMinInterval();
        }
    }

    private void respondAfterMinInterval() {
        double delayMs = nextUpdateAtMs - context.clock().now();
        if (delayMs <= 0) {
            // A peer gets no immediate response if only its own entries have arrived.
            if (!request.isFromPeer() || !entriesForPeer().isEmpty()) {
                respondWithDelta();
            }
        } else if (delayedResponse == null) {
            delayedResponse = context.loop()
                    .schedule(this::sendDelayedResponse, (long) (delayMs * NANOS_PER_MS), TimeUnit.NANOSECONDS);
        }
    }

    private void sendDelayedResponse() {
        delayedResponse = null;
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
        ByteBuf body = context.responses().toPeer(entries, false, responseHead());
        if (!entries.isEmpty()) {
            nextUpdateAtMs = context.clock().now() + MIN_PEER_UPDATE_INTERVAL_MS;
        }
        responder.respond(body);
    }

    private void respondToSidecarWithDelta() {
        List<String> topics = context.topics(request);
        boolean hasUpdate = context.store().hasNewer(topics, sinceVersion);
        ByteBuf body = context.responses().delta(topics, sinceVersion, responseHead());
        if (hasUpdate) {
            nextUpdateAtMs = context.clock().now() + context.minUpdateIntervalMs();
        }
        responder.respond(body);
    }

    private List<VersionedEntry> entriesForPeer() {
        return context.store().entriesForPeerSince(request.peer(), sinceVersion);
    }

    private WatchResponseHead responseHead() {
        return context.node().responseHead(request);
    }
}
