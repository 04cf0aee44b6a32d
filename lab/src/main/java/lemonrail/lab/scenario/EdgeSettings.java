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

/** Keys of the operators' file that a variant gives another value, by the environment that goes before it. */
public final class EdgeSettings {

    private EdgeSettings() {}

    /** The variables for these keys, as in {@code limits.attempts}. */
    public static Map<String, String> environment(Map<String, String> set) {
        Map<String, String> environment = new LinkedHashMap<>();
        set.forEach((key, value) -> environment.put(
                "LEMONRAIL_" + key.replace('.', '_').replace('-', '_').toUpperCase(Locale.ROOT), value));
        return environment;
    }

    /** What an edge is told then; a key that the file cannot have is an {@link IllegalArgumentException}. */
    public static BalancerSettings load(Path edge, Map<String, String> set) throws IOException {
        LoadedConfiguration loaded = ConfigSource.of(edge, environment(set)).load();
        List<String> taken = loaded.values().stream()
                .filter(value -> value.origin().equals("environment"))
                .map(LoadedConfiguration.Value::key)
                .toList();
        for (String key : set.keySet()) {
            if (!taken.contains(key)) {
                throw new IllegalArgumentException(
                        key + " is no key of a table that " + edge + " has once; see `lemonrail config schema`");
            }
        }
        return loaded.config().settings();
    }
}
