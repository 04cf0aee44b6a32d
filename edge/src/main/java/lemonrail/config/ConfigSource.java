package lemonrail.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** Where a configuration is read from, at the start and again at each reload. */
public interface ConfigSource {

    /**
     * Reads the configuration.
     *
     * @throws ConfigException if it cannot be used; names all problems
     * @throws IOException if the file cannot be read
     */
    LoadedConfiguration load() throws IOException;

    /** Returns the file that is read. */
    Path file();

    /** Returns whether the address of discovery is the only value that changes between two reads. */
    boolean reloadsDiscoveryOnly();

    /** Returns the source for a file: {@code .toml} is the operators' format, all else the platform's JSON. */
    static ConfigSource of(Path file, Map<String, String> environment) {
        return file.toString().endsWith(".toml")
                ? new TomlFile(file, environment)
                : new PlatformFile(file, environment);
    }
}
