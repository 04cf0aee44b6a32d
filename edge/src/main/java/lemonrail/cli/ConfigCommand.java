package lemonrail.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Groups the commands that show configuration values and the schema. */
@Command(
        name = "config",
        description = "Show configuration values or the schema.",
        subcommands = {ConfigShowCommand.class, ConfigSchemaCommand.class})
final class ConfigCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        return LemonrailCommand.printUsage(spec);
    }
}
