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
 * Finishes the requests in flight before the process ends. Clients may go on using their connections for part of
 * that time, as the other sidecars that could serve them may still be starting. When a sibling process
 * listens at the same address, the listener closes at once and each response is the last on its connection.
 */
final class GracefulShutdown {

    /** New connections still arrive for a while after SIGTERM; the listener stays open until then. */
    private static final int LISTENER_LINGER_MS = 600;

    private static final int EMPTY_POLL_INTERVAL_MS = 10;
    /** SIGKILL follows SIGTERM after the longest deadline, but at most this, plus {@link #KILL_SLACK_MS}. */
    private static final int MAX_DEADLINE_MS = 3000;

    private static final int KILL_SLACK_MS = 700;
    /** The last part of the time, in which connections are closed after the response in flight. */
    private static final int CLOSE_CONNECTIONS_MS = 700;
    /** Left unused before SIGKILL, for a busy machine. */
    private static final int SAFETY_MARGIN_MS = 300;
    /** After the end of the drain, every request still in flight is answered within this time. */
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
     * Blocks until all connections are closed, or the time before SIGKILL runs out. To be called from a thread
     * other than the event loop, once.
     *
     * @param longestDeadlineMs the longest deadline of any request class, in milliseconds
     */
    void run(long longestDeadlineMs) {
        long killedAfterMs = Math.min(longestDeadlineMs, MAX_DEADLINE_MS) + KILL_SLACK_MS;
        long drainMs = killedAfterMs - SAFETY_MARGIN_MS;
        CountDownLatch empty = new CountDownLatch(1);
        schedule(drainMs, empty);
        awaitEmpty(empty, drainMs + SAFETY_MARGIN_MS / 2);
    }

    private void schedule(long drainMs, CountDownLatch empty) {
        long closeConnectionsAtMs = Math.max(LISTENER_LINGER_MS, drainMs - CLOSE_CONNECTIONS_MS);
        loop.execute(() -> begin(drainMs));
        scheduleOnce(() -> listeners.forEach(Downstream::closeListener), LISTENER_LINGER_MS);
        scheduleOnce(() -> listeners.forEach(Downstream::closeAfterResponses), closeConnectionsAtMs);
        scheduleOnce(dispatcher::abandonAll, drainMs + FINAL_RESPONSE_MS);
        loop.scheduleWithFixedDelay(
                () -> signalIfEmpty(empty), LISTENER_LINGER_MS, EMPTY_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void scheduleOnce(Runnable action, long delayMs) {
        loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private void begin(long drainMs) {
        lifecycle.startStopping();
        listeners.forEach(downstream -> downstream.capDeadlines((double) drainMs));
        boolean succeeded = siblingLock.hasSibling();
        log.info("stopping", "stopping" + (succeeded ? ", another process goes on" : ""), "succeeded", succeeded);
        if (succeeded) {
            listeners.forEach(Downstream::releaseAddress);
        }
    }

    private void signalIfEmpty(CountDownLatch empty) {
        if (listeners.allMatch(Downstream::hasNoConnections)) {
            empty.countDown();
        }
    }

    private void awaitEmpty(CountDownLatch empty, long timeoutMs) {
        try {
            // Every request has its response by then; a client that does not read it is not waited for.
            empty.await(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        boolean done = empty.getCount() == 0;
        log.info(
                "stopped",
                done ? "all connections are done with" : "not all connections were empty in time",
                "empty",
                done);
    }
}
