package lemonrail.assembly;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;
import lemonrail.logging.EventLog;
import lemonrail.streaming.BufferBudget;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.upgrade.SiblingProcessLock;

/**
 * Detects a sibling process of the same sidecar, applies the suspensions that it has written, and halves the
 * connection limits and the memory of requests while it runs. Runs on the event loop.
 */
final class SiblingMonitor {

    private static final int CHECK_INTERVAL_MS = 100;

    private final EventLog log;
    private final SiblingProcessLock siblingLock;
    private final SuspendedEndpoints suspensions;
    private final DescriptorBudget descriptors;
    private final BufferBudget budget;
    private final RequestDispatcher<?, ?> dispatcher;
    private final Upstream<?, ?> upstream;
    private final Listeners listeners;

    SiblingMonitor(
            EventLog log,
            SiblingProcessLock siblingLock,
            SuspendedEndpoints suspensions,
            DescriptorBudget descriptors,
            BufferBudget budget,
            RequestDispatcher<?, ?> dispatcher,
            Upstream<?, ?> upstream,
            Listeners listeners) {
        this.log = log;
        this.siblingLock = siblingLock;
        this.suspensions = suspensions;
        this.descriptors = descriptors;
        this.budget = budget;
        this.dispatcher = dispatcher;
        this.upstream = upstream;
        this.listeners = listeners;
    }

    /** Starts the periodic checks. */
    void start(EventLoop loop) {
        loop.scheduleWithFixedDelay(this::check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        try {
            dispatcher.refreshEndpoints(suspensions.refresh());
            updateLimits(siblingLock.hasSibling());
        } catch (RuntimeException e) {
            // The executor cancels a periodic task that throws.
            log.error("periodic check for a sibling process failed", e);
        }
    }

    private void updateLimits(boolean siblingRuns) {
        if (!descriptors.setSharedWithSibling(siblingRuns)) {
            return;
        }
        if (siblingRuns) {
            log.info(
                    "limits_split",
                    "another process of this sidecar is running: each uses half of the connection limits");
        } else {
            log.info("limits_restored", "the other process of this sidecar has ended: full connection limits restored");
        }
        budget.setShared(siblingRuns);
        upstream.setMaxConnections(descriptors.maxUpstreamConnections());
        listeners.setMaxConnections(descriptors.maxClientConnections());
    }
}
