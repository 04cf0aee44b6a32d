package lemonrail.lab.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lemonrail.config.ConfigSource;
import lemonrail.config.LoadedConfiguration;
import lemonrail.core.balancer.BalancerSettings;

/**
 * Overrides keys of an edge configuration file for a variant. The overrides are passed as environment variables, which
 * take precedence over the file.
 */
public final class EdgeSettings {

    private EdgeSettings() {}

    /** Returns the environment variables that override these keys, for example {@code limits.attempts}. */
    public static Map<String, String> environment(Map<String, String> overrides) {
        Map<String, String> environment = new LinkedHashMap<>();
        overrides.forEach((key, value) -> environment.put(
                "LEMONRAIL_" + key.replace('.', '_').replace('-', '_').toUpperCase(Locale.ROOT), value));
        return environment;
    }

    /**
     * Loads an edge configuration file with overrides applied.
     *
     * @throws IllegalArgumentException if a key cannot be overridden: it is unknown, or its table may occur more than
     *     once
     */
    public static BalancerSettings load(Path edgeFile, Map<String, String> overrides) throws IOException {
        LoadedConfiguration loaded =
                ConfigSource.of(edgeFile, environment(overrides)).load();
        List<String> overriddenKeys = loaded.values().stream()
                .filter(value -> value.origin().equals("environment"))
                .map(LoadedConfiguration.Value::key)
                .toList();
        for (String key : overrides.keySet()) {
            if (!overriddenKeys.contains(key)) {
                throw new IllegalArgumentException(key + " is not a key of a non-repeatable table of " + edgeFile
                        + "; see `lemonrail config schema`");
            }
        }
        return loaded.config().settings();
    }
}
