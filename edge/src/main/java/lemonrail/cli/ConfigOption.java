package lemonrail.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option that names the configuration file; if it is missing, an environment variable names the file. */
final class ConfigOption {

    @Option(
            names = {"-c", "--config"},
            paramLabel = "FILE",
            description =
                    "the configuration file: .toml for the operators' format, any other name for the platform's JSON; "
                            + "default: $GW_CONFIG")
    private Path file;

    /**
     * Returns the configuration file.
     *
     * @throws IllegalArgumentException if neither the option nor the variable names a file
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
