package lemonrail.assembly;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;
import lemonrail.logging.EventLog;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.upgrade.SiblingProcessLock;

/**
 * Watches for a sibling process of the same sidecar: applies the suspensions that it has written, and splits the
 * connection limits while it runs. Runs on the event loop.
 */
final class SiblingMonitor {

    private static final int INTERVAL_MS = 100;

    private final EventLog log;
    private final SiblingProcessLock siblingLock;
    private final SuspendedEndpoints suspensions;
    private final DescriptorBudget descriptors;
    private final RequestDispatcher<?, ?> dispatcher;
    private final Upstream<?, ?> upstream;
    private final Listeners listeners;

    SiblingMonitor(
            EventLog log,
            SiblingProcessLock siblingLock,
            SuspendedEndpoints suspensions,
            DescriptorBudget descriptors,
            RequestDispatcher<?, ?> dispatcher,
            Upstream<?, ?> upstream,
            Listeners listeners) {
        this.log = log;
        this.siblingLock = siblingLock;
        this.suspensions = suspensions;
        this.descriptors = descriptors;
        this.dispatcher = dispatcher;
        this.upstream = upstream;
        this.listeners = listeners;
    }

    /** Checks periodically from now on. */
    void start(EventLoop loop) {
        loop.scheduleWithFixedDelay(this::check, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        try {
            dispatcher.refreshEndpoints(suspensions.refresh());
            splitLimits(siblingLock.hasSibling());
        } catch (RuntimeException e) {
            // A scheduled task that throws is never run again.
            log.error("checking the sibling process failed", e);
        }
    }

    private void splitLimits(boolean siblingRuns) {
        if (!descriptors.setSharedWithSibling(siblingRuns)) {
            return;
        }
        if (siblingRuns) {
            log.info("limits_split", "another process of this sidecar runs: the limits are shared");
        } else {
            log.info("limits_restored", "the only process of this sidecar from now on");
        }
        upstream.setMaxConnections(descriptors.maxUpstreamConnections());
        listeners.setMaxConnections(descriptors.maxClientConnections());
    }
}
