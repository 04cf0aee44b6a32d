package lemonrail.assembly;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;
import lemonrail.config.ConfigSource;
import lemonrail.config.EdgeConfig;
import lemonrail.config.LoadedConfiguration;
import lemonrail.discovery.DiscoveryClient;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSink;
import lemonrail.metrics.Metrics;

/**
 * Reads the configuration again and applies what can change at run time: the address of discovery, the fixed list
 * of endpoints, listeners and log levels. Other changed values take effect at the next start; their keys are logged
 * unless the source reloads only discovery. If the configuration is invalid or a listener cannot be opened, nothing
 * changes. If applying a value fails after that, earlier changes stay.
 */
final class ConfigurationReloader {

    private static final String DISCOVERY_ADDRESS_KEY = "discovery.address";

    /**
     * The components that a reload changes.
     *
     * @param discovery the client of the discovery service, or null if none is configured
     * @param fixedEndpoints whether the configuration is the only source of endpoints
     */
    record Targets(
            RequestDispatcher<?, ?> dispatcher,
            Listeners listeners,
            DiscoveryClient discovery,
            boolean fixedEndpoints,
            LogSink sink) {}

    private final EventLoop loop;
    private final EventLog log;
    private final Metrics metrics;
    private final Lifecycle lifecycle;
    private final ConfigSource source;
    private final LoadedConfiguration initialConfiguration;
    private final Targets targets;
    /** Whether a reload is in progress; it may have to wait for listeners to open. */
    private boolean reloading;
    /** Whether another reload was requested while one was in progress. */
    private boolean reloadPending;

    /**
     * Creates a reloader.
     *
     * @param source where the configuration is read from
     * @param initialConfiguration the configuration that the process was started with
     */
    ConfigurationReloader(
            EventLoopContext context, ConfigSource source, LoadedConfiguration initialConfiguration, Targets targets) {
        loop = context.loop();
        log = context.log();
        metrics = context.metrics();
        lifecycle = context.lifecycle();
        this.source = source;
        this.initialConfiguration = initialConfiguration;
        this.targets = targets;
    }

    /** Requests a reload and returns at once; may be called from any thread. */
    void request() {
        loop.execute(this::reload);
    }

    private void reload() {
        if (reloading) {
            reloadPending = true;
            return;
        }
        reloading = true;
        try {
            LoadedConfiguration next = source.load();
            if (source.reloadsDiscoveryOnly()) {
                apply(next);
                finishReload();
            } else if (lifecycle.phase() == Lifecycle.Phase.STOPPING) {
                rejectReload("the process is stopping");
                finishReload();
            } else {
                targets.listeners().change(next.config().listeners(), new ListenersChange(next));
            }
        } catch (IOException | RuntimeException e) {
            rejectReload(e.getMessage());
            finishReload();
        }
    }

    private void finishReload() {
        reloading = false;
        if (reloadPending) {
            reloadPending = false;
            reload();
        }
    }

    private void rejectReload(String reason) {
        log.warn("config_rejected", "configuration not reloaded, or only in part: " + reason);
        metrics.onReload(false);
    }

    private void apply(LoadedConfiguration next) {
        EdgeConfig config = next.config();
        if (targets.discovery() != null && config.discovery() != null) {
            log.info("config_reloaded", "configuration read again: discovery is at " + config.discovery());
            targets.discovery().moveTo(config.discovery());
        } else {
            log.info("config_reloaded", "configuration read again");
        }
        if (targets.fixedEndpoints()) {
            targets.dispatcher().onEndpointList(config.initialEndpoints());
        }
        config.logging().levels().forEach(targets.sink()::setLevel);
        logKeysThatNeedRestart(next);
        metrics.onReload(true);
    }

    private void logKeysThatNeedRestart(LoadedConfiguration next) {
        List<String> keys = source.reloadsDiscoveryOnly() ? List.of() : keysThatNeedRestart(next);
        if (!keys.isEmpty()) {
            log.warn(
                    "config_needs_restart",
                    "changed keys that take effect only after a restart: " + keys,
                    "keys",
                    keys);
        }
    }

    /** Returns the keys whose values differ from those at the start and cannot change at run time, sorted. */
    private List<String> keysThatNeedRestart(LoadedConfiguration next) {
        Map<String, String> initialValues = textByKey(initialConfiguration);
        Map<String, String> nextValues = textByKey(next);
        boolean discoveryToggled =
                (initialConfiguration.config().discovery() != null) != nextValues.containsKey(DISCOVERY_ADDRESS_KEY);
        return Stream.concat(next.values().stream(), initialConfiguration.values().stream())
                .filter(value ->
                        !value.reloadable() || (discoveryToggled && value.key().equals(DISCOVERY_ADDRESS_KEY)))
                .map(LoadedConfiguration.Value::key)
                .distinct()
                .filter(key -> !Objects.equals(initialValues.get(key), nextValues.get(key)))
                .sorted()
                .toList();
    }

    private static Map<String, String> textByKey(LoadedConfiguration configuration) {
        Map<String, String> texts = new HashMap<>();
        configuration.values().forEach(value -> texts.put(value.key(), value.text()));
        return texts;
    }

    /** Applies the remaining values of a configuration once its listeners are open. */
    private final class ListenersChange implements Listeners.ChangeResult {
        private final LoadedConfiguration next;

        ListenersChange(LoadedConfiguration next) {
            this.next = next;
        }

        @Override
        public void onChanged() {
            try {
                apply(next);
            } catch (RuntimeException e) {
                rejectReload(e.getMessage());
            }
            finishReload();
        }

        @Override
        public void onFailed(InetSocketAddress address, Throwable cause) {
            rejectReload("cannot listen on " + address + ": " + cause.getMessage());
            finishReload();
        }
    }
}
