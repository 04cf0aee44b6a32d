package lemonrail.assembly;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
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
    /** Time after the end of the drain in which every request still in flight gets its final response. */
    private static final int FINAL_RESPONSE_MS = 10;

    private final EventLoop loop;
    private final EventLog log;
    private final Lifecycle lifecycle;
    private final Listeners listeners;
    private final RequestDispatcher<?, ?> dispatcher;
    private final SiblingProcessLock siblingLock;

    GracefulShutdown(
            EventLoop loop,
            EventLog log,
            Lifecycle lifecycle,
            Listeners listeners,
            RequestDispatcher<?, ?> dispatcher,
            SiblingProcessLock siblingLock) {
        this.loop = loop;
        this.log = log;
        this.lifecycle = lifecycle;
        this.listeners = listeners;
        this.dispatcher = dispatcher;
        this.siblingLock = siblingLock;
    }

    /**
     * Blocks until all connections are closed or until shortly before SIGKILL is expected. Must be called once, from a
     * thread other than the event loop.
     *
     * @param longestDeadlineMs the longest deadline of any request class, in milliseconds
     */
    void run(long longestDeadlineMs) {
        long killDelayMs = Math.min(longestDeadlineMs, MAX_DEADLINE_MS) + KILL_SLACK_MS;
        long drainMs = killDelayMs - SAFETY_MARGIN_MS;
        CountDownLatch drained = new CountDownLatch(1);
        schedule(drainMs, drained);
        awaitDrained(drained, drainMs + SAFETY_MARGIN_MS / 2);
    }

    private void schedule(long drainMs, CountDownLatch drained) {
        long closeConnectionsAtMs = Math.max(LISTENER_CLOSE_DELAY_MS, drainMs - CLOSE_CONNECTIONS_MS);
        loop.execute(() -> beginShutdown(drainMs));
        scheduleOnce(() -> listeners.forEach(Downstream::closeListener), LISTENER_CLOSE_DELAY_MS);
        scheduleOnce(() -> listeners.forEach(Downstream::closeAfterResponses), closeConnectionsAtMs);
        scheduleOnce(dispatcher::abandonAll, drainMs + FINAL_RESPONSE_MS);
        loop.scheduleWithFixedDelay(
                () -> signalIfDrained(drained), LISTENER_CLOSE_DELAY_MS, DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
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

    private void awaitDrained(CountDownLatch drained, long timeoutMs) {
        try {
            // By the timeout every request has its final response, so connections of clients that do not read are left
            // open.
            drained.await(timeoutMs, TimeUnit.MILLISECONDS);
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
