package lemonrail.cli;

import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The command {@code lemonrail}; without a subcommand it prints its usage. */
@Command(
        name = "lemonrail",
        description = "A load balancer between clients and the endpoints that serve them.",
        scope = ScopeType.INHERIT,
        mixinStandardHelpOptions = true,
        versionProvider = VersionCommand.Provider.class,
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:success", "1:the command failed", "2:the arguments or the configuration are invalid"},
        subcommands = {
            ServeCommand.class,
            ControlCommand.class,
            CheckCommand.class,
            ConfigCommand.class,
            SimulatorCommand.class,
            VersionCommand.class,
            AutoComplete.GenerateCompletion.class
        })
final class LemonrailCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    private LemonrailCommand() {}

    /** Parses the arguments and runs the named command; returns the exit status. */
    static int run(String... args) {
        return new CommandLine(new LemonrailCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((e, commandLine, parsed) -> printFailure(e, commandLine))
                .execute(args);
    }

    private static int printFailure(Exception e, CommandLine commandLine) {
        commandLine.getErr().println("lemonrail: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
        return e instanceof IllegalArgumentException ? Main.BAD_INPUT : Main.FAILURE;
    }

    @Override
    public Integer call() {
        return printUsage(spec);
    }

    /** Prints the usage of a command that needs a subcommand; returns the exit status. */
    static int printUsage(CommandSpec spec) {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Main.BAD_INPUT;
    }
}
