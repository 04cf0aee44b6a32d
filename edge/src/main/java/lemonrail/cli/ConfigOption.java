package lemonrail.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option that names the configuration; an environment variable does where it is not given. */
final class ConfigOption {

    @Option(
            names = {"-c", "--config"},
            paramLabel = "FILE",
            description = "the configuration: .toml is the operators' form, all else the platform's JSON; "
                    + "$GW_CONFIG if not given")
    private Path file;

    /**
     * Returns the configuration file.
     *
     * @throws IllegalArgumentException if neither option nor variable names one
     */
    Path file() {
        if (file != null) {
            return file;
        }
        String variable = System.getenv(Main.CONFIG_VARIABLE);
        if (variable == null || variable.isBlank()) {
            throw new IllegalArgumentException("no configuration: give --config FILE or set " + Main.CONFIG_VARIABLE);
        }
        return Path.of(variable);
    }
}
