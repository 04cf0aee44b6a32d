package lemonrail.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import lemonrail.config.ConfigSource;
import lemonrail.config.ControlFile;
import lemonrail.config.LoadedConfiguration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints the values of a configuration and their origins. */
@Command(name = "show", description = "Show the values of a configuration and their origins.")
final class ConfigShowCommand implements Callable<Integer> {

    private static final String DEFAULT_ORIGIN = "default";

    @Mixin
    private ConfigOption config;

    @Option(
            names = "--effective",
            description = "show all values in effect, including defaults, not only those that are set")
    private boolean effective;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        for (LoadedConfiguration.Value value : load(config.file(), System.getenv())) {
            if (effective || !value.origin().equals(DEFAULT_ORIGIN)) {
                String restart = value.reloadable() ? "" : ", needs a restart";
                out.println(value.key() + " = " + value.text() + "  # " + value.origin() + restart);
            }
        }
        return Main.OK;
    }

    private static List<LoadedConfiguration.Value> load(Path file, Map<String, String> environment) throws IOException {
        return ControlFile.isControlFile(file, environment)
                ? new ControlFile(file, environment).load().values()
                : ConfigSource.of(file, environment).load().values();
    }
}
