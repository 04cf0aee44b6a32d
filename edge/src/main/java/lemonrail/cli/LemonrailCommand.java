package lemonrail.cli;

import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The command {@code lemonrail}; without a subcommand it prints how it is used. */
@Command(
        name = "lemonrail",
        description = "An edge between clients and the endpoints that serve them.",
        scope = ScopeType.INHERIT,
        mixinStandardHelpOptions = true,
        versionProvider = VersionCommand.Provider.class,
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:all is well", "1:it has failed", "2:the call or the configuration is no good"},
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

    /** Parses the arguments and runs the command that they name; returns the exit status. */
    static int run(String... args) {
        return new CommandLine(new LemonrailCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((e, commandLine, parsed) -> fail(e, commandLine))
                .execute(args);
    }

    private static int fail(Exception e, CommandLine commandLine) {
        commandLine.getErr().println("lemonrail: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
        return e instanceof IllegalArgumentException ? Main.BAD_INPUT : Main.FAILURE;
    }

    @Override
    public Integer call() {
        return usage(spec);
    }

    /** Prints how a command is used that cannot run by itself. */
    static int usage(CommandSpec spec) {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Main.BAD_INPUT;
    }
}
