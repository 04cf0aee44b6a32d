package lemonrail.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** Where a configuration is read from, at the start and again at each reload. */
public interface ConfigSource {

    /** Reads it; a {@link ConfigException} names what cannot be used. */
    LoadedConfiguration load() throws IOException;

    /** The file that is read. */
    Path file();

    /**
     * The file in whichever form its name tells: {@code .toml} is the operators', all else the platform's.
     */
    static ConfigSource of(Path file, Map<String, String> environment) {
        return file.toString().endsWith(".toml")
                ? new TomlFile(file, environment)
                : new PlatformFile(file, environment);
    }
}
