package lemonrail.assembly;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;
import lemonrail.upgrade.SiblingProcessLock;

/**
 * Finishes the requests in flight before the process ends. Clients may keep using their connections for part of
 * that time, because the other sidecars that could serve them may still be starting. When a sibling process
 * listens at the same address, the listener closes at once and each connection closes after its next response.
 */
final class GracefulShutdown {

    /** How long the listener stays open after SIGTERM, because clients still open new connections meanwhile. */
    private static final int LISTENER_CLOSE_DELAY_MS = 600;

    private static final int DRAIN_POLL_INTERVAL_MS = 10;
    /**
     * The longest deadline that is counted: SIGKILL is expected {@link #KILL_SLACK_MS} after the longest deadline or
     * after this time, whichever is shorter.
     */
    private static final int MAX_DEADLINE_MS = 3000;

    private static final int KILL_SLACK_MS = 700;
    /** The last part of the drain, in which each connection closes after the response in flight. */
    private static final int CLOSE_CONNECTIONS_MS = 700;
    /** Time left unused before SIGKILL, because timers run late on a busy machine. */
    private static final int SAFETY_MARGIN_MS = 300;
    /**
     * Requests received this long after SIGTERM or later have to end before SIGKILL. If the endpoint has stopped
     * sending the response to one, it is truncated, which its client can detect; all others continue.
     */
    private static final int LATE_REQUEST_MS = 700;
    /** An endpoint that sends nothing of a response for this time has stopped. Some send pieces a second apart. */
    private static final int MAX_PAUSE_MS = 2000;
    /** Time after the end of the drain in which every request that is still undecided gets its final response. */
    private static final int FINAL_RESPONSE_MS = 10;
    /**
     * The longest time that responses whose forwarding has begun keep the process running, unless it is killed first.
     */
    private static final int MAX_SHUTDOWN_MS = 60_000;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final Lifecycle lifecycle;
    private final Listeners listeners;
    private final RequestDispatcher<?, ?> dispatcher;
    private final SiblingProcessLock siblingLock;

    GracefulShutdown(
            EventLoop loop,
            Clock clock,
            EventLog log,
            Lifecycle lifecycle,
            Listeners listeners,
            RequestDispatcher<?, ?> dispatcher,
            SiblingProcessLock siblingLock) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.lifecycle = lifecycle;
        this.listeners = listeners;
        this.dispatcher = dispatcher;
        this.siblingLock = siblingLock;
    }

    /**
     * Blocks until all connections are closed. Shortly before SIGKILL is expected, every request without a final
     * response gets one. Responses that are being forwarded then continue, because SIGKILL may come later than expected
     * and ending them would truncate them for certain. Must be called once, from a thread other than the event loop.
     *
     * @param longestDeadlineMs the longest deadline of any request class, in milliseconds
     */
    void run(long longestDeadlineMs) {
        long killDelayMs = Math.min(longestDeadlineMs, MAX_DEADLINE_MS) + KILL_SLACK_MS;
        long drainMs = killDelayMs - SAFETY_MARGIN_MS;
        CountDownLatch drained = new CountDownLatch(1);
        schedule(drainMs, drained);
        awaitDrained(drained);
    }

    private void schedule(long drainMs, CountDownLatch drained) {
        double startedMs = clock.now();
        long closeConnectionsAtMs = Math.max(LISTENER_CLOSE_DELAY_MS, drainMs - CLOSE_CONNECTIONS_MS);
        loop.execute(() -> beginShutdown(drainMs));
        scheduleOnce(() -> listeners.forEach(Downstream::closeListener), LISTENER_CLOSE_DELAY_MS);
        scheduleOnce(() -> listeners.forEach(Downstream::closeAfterResponses), closeConnectionsAtMs);
        scheduleOnce(() -> endUndecided(startedMs + LATE_REQUEST_MS), drainMs + FINAL_RESPONSE_MS);
        loop.scheduleWithFixedDelay(
                () -> signalIfDrained(drained), LISTENER_CLOSE_DELAY_MS, DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void endUndecided(double lateRequestsFromMs) {
        dispatcher.abandonUndecided();
        dispatcher.cancelPausedResponses(lateRequestsFromMs, MAX_PAUSE_MS);
    }

    private void scheduleOnce(Runnable action, long delayMs) {
        loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private void beginShutdown(long drainMs) {
        lifecycle.startStopping();
        listeners.forEach(downstream -> downstream.capDeadlines((double) drainMs));
        boolean hasSuccessor = siblingLock.hasSibling();
        log.info(
                "stopping",
                "stopping" + (hasSuccessor ? ", another process of this sidecar takes over" : ""),
                "succeeded",
                hasSuccessor);
        if (hasSuccessor) {
            listeners.forEach(Downstream::releaseAddress);
        }
    }

    private void signalIfDrained(CountDownLatch drained) {
        if (listeners.allMatch(Downstream::hasNoConnections)) {
            drained.countDown();
        }
    }

    private void awaitDrained(CountDownLatch drained) {
        try {
            drained.await(MAX_SHUTDOWN_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        boolean allClosed = drained.getCount() == 0;
        log.info(
                "stopped",
                allClosed ? "all connections are closed" : "shutdown timed out with connections still open",
                "empty",
                allClosed);
    }
}
