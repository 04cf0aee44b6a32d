package lemonrail.assembly;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import lemonrail.admin.AdminOperations;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSink;
import lemonrail.logging.Severity;
import lemonrail.metrics.Metrics;
import lemonrail.suspension.SuspendedEndpoints;

/** The admin API's operations on a sidecar, executed on the event loop by the components that own the state. */
final class SidecarAdminOperations implements AdminOperations {

    /** Maximum number of loggers that have their own level. */
    private static final int MAX_LOGGER_LEVELS = 64;

    /** A change of the suspensions; returns the ids of the endpoints whose visible state changed. */
    private interface SuspensionChange {
        Set<String> apply() throws IOException;
    }

    private final Lifecycle lifecycle;
    private final Metrics metrics;
    private final EventLog log;
    private final LogSink sink;
    private final SuspendedEndpoints suspensions;
    private final RequestDispatcher<?, ?> dispatcher;
    private final Listeners listeners;

    SidecarAdminOperations(
            EventLoopContext context,
            LogSink sink,
            SuspendedEndpoints suspensions,
            RequestDispatcher<?, ?> dispatcher,
            Listeners listeners) {
        lifecycle = context.lifecycle();
        metrics = context.metrics();
        log = context.log();
        this.sink = sink;
        this.suspensions = suspensions;
        this.dispatcher = dispatcher;
        this.listeners = listeners;
    }

    @Override
    public boolean isReady() {
        return lifecycle.isReady();
    }

    @Override
    public String phase() {
        return lifecycle.description();
    }

    @Override
    public String renderMetrics() {
        return metrics.render();
    }

    @Override
    public Result suspend(String endpoint) {
        return changeSuspension("suspended", endpoint, () -> suspensions.suspend(endpoint));
    }

    @Override
    public Result resume(String endpoint) {
        return changeSuspension("resumed", endpoint, () -> suspensions.resume(endpoint));
    }

    private Result changeSuspension(String event, String endpoint, SuspensionChange change) {
        if (!suspensions.isKnown(endpoint)) {
            return Result.UNKNOWN_ENDPOINT;
        }
        try {
            Set<String> changed = change.apply();
            if (!changed.isEmpty()) {
                log.info(event, event + " by an operator: " + endpoint, "by", "hand", "endpoint", endpoint);
            }
            dispatcher.refreshEndpoints(changed);
            return Result.DONE;
        } catch (IOException e) {
            String message = endpoint + " could not be " + event + ": " + e.getMessage();
            log.warn("suspension_failed", message, "endpoint", endpoint);
            return Result.FAILED;
        }
    }

    @Override
    public String renderLevels() {
        StringBuilder text = new StringBuilder();
        sink.levels()
                .forEach((logger, level) ->
                        text.append(logger).append('=').append(level).append('\n'));
        return text.toString();
    }

    @Override
    public boolean setLevel(String logger, Severity severity) {
        Map<String, String> levels = sink.levels();
        if (levels.size() >= MAX_LOGGER_LEVELS && !levels.containsKey(logger)) {
            return false;
        }
        sink.setLevel(logger, severity);
        String message = "log level changed by an operator: " + logger + " logs " + severity + " and above";
        log.info("level_changed", message, "of", logger, "to", severity);
        return true;
    }

    @Override
    public void drain() {
        if (lifecycle.startDraining()) {
            log.info(
                    "drain_started",
                    "drain started by an operator: connections are drained until the sidecar is activated");
            listeners.forEach(Downstream::startDraining);
        }
    }

    @Override
    public void activate() {
        if (lifecycle.stopDraining()) {
            log.info("drain_ended", "drain ended by an operator: the sidecar is active again");
            listeners.forEach(Downstream::stopDraining);
        }
    }
}
