package lemonrail.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** A file from which a configuration is read at the start and at each reload. */
public interface ConfigSource {

    /**
     * Reads the configuration.
     *
     * @throws ConfigException if the configuration is invalid; lists all problems
     * @throws IOException if the file cannot be read
     */
    LoadedConfiguration load() throws IOException;

    /** Returns the path of the file. */
    Path file();

    /** Returns whether a reload applies only the address of discovery and ignores all other changes. */
    boolean reloadsDiscoveryOnly();

    /** Returns the source for a file: {@code .toml} is the operators' format, any other name the platform's JSON. */
    static ConfigSource of(Path file, Map<String, String> environment) {
        return file.toString().endsWith(".toml")
                ? new TomlFile(file, environment)
                : new PlatformFile(file, environment);
    }
}
