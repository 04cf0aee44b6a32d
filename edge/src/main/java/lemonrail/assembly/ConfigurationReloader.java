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
 * of endpoints, listeners and log levels. Other changed values are logged and take effect at the next start. A
 * configuration that cannot be used, or a listener that cannot be opened, changes nothing.
 */
final class ConfigurationReloader {

    private static final String DISCOVERY_ADDRESS_KEY = "discovery.address";

    /**
     * The parts that a reload changes.
     *
     * @param discovery null without a discovery service
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
    private final LoadedConfiguration started;
    private final Targets targets;
    /** Whether a reload is under way; it may have to wait for listeners to open. */
    private boolean reloading;
    /** Whether another reload was requested meanwhile. */
    private boolean pending;

    /**
     * Creates a reloader.
     *
     * @param source where the configuration is read from
     * @param started the configuration that the process was started with
     */
    ConfigurationReloader(EventLoopContext context, ConfigSource source, LoadedConfiguration started, Targets targets) {
        loop = context.loop();
        log = context.log();
        metrics = context.metrics();
        lifecycle = context.lifecycle();
        this.source = source;
        this.started = started;
        this.targets = targets;
    }

    /** Requests a reload and returns at once; may be called from any thread. */
    void request() {
        loop.execute(this::reload);
    }

    private void reload() {
        if (reloading) {
            pending = true;
            return;
        }
        reloading = true;
        try {
            LoadedConfiguration next = source.load();
            if (source.reloadsDiscoveryOnly()) {
                apply(next);
                finish();
            } else if (lifecycle.phase() == Lifecycle.Phase.STOPPING) {
                reject("the process is stopping");
                finish();
            } else {
                targets.listeners().change(next.config().listeners(), new ListenersChange(next));
            }
        } catch (IOException | RuntimeException e) {
            reject(e.getMessage());
            finish();
        }
    }

    private void finish() {
        reloading = false;
        if (pending) {
            pending = false;
            reload();
        }
    }

    private void reject(String reason) {
        log.warn("config_rejected", "the configuration stays as it was: " + reason);
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
            targets.dispatcher().onEndpointList(config.known());
        }
        config.logging().levels().forEach(targets.sink()::setLevel);
        logRestartKeys(next);
        metrics.onReload(true);
    }

    private void logRestartKeys(LoadedConfiguration next) {
        List<String> keys = source.reloadsDiscoveryOnly() ? List.of() : keysThatNeedRestart(next);
        if (!keys.isEmpty()) {
            log.warn("config_needs_restart", "these hold from the next start on: " + keys, "keys", keys);
        }
    }

    /** Returns the keys whose values differ from those at the start and cannot change at run time, sorted. */
    private List<String> keysThatNeedRestart(LoadedConfiguration next) {
        Map<String, String> before = textByKey(started);
        Map<String, String> after = textByKey(next);
        boolean discoveryToggled = (started.config().discovery() != null) != after.containsKey(DISCOVERY_ADDRESS_KEY);
        return Stream.concat(next.values().stream(), started.values().stream())
                .filter(value ->
                        !value.reloadable() || (discoveryToggled && value.key().equals(DISCOVERY_ADDRESS_KEY)))
                .map(LoadedConfiguration.Value::key)
                .distinct()
                .filter(key -> !Objects.equals(before.get(key), after.get(key)))
                .sorted()
                .toList();
    }

    private static Map<String, String> textByKey(LoadedConfiguration configuration) {
        Map<String, String> texts = new HashMap<>();
        configuration.values().forEach(value -> texts.put(value.key(), value.text()));
        return texts;
    }

    /** Applies the rest of a configuration once its listeners are open. */
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
                reject(e.getMessage());
            }
            finish();
        }

        @Override
        public void onFailed(InetSocketAddress address, Throwable cause) {
            reject("cannot listen on " + address + ": " + cause.getMessage());
            finish();
        }
    }
}
