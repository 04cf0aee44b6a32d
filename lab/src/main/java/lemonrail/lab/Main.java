package lemonrail.lab;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import lemonrail.lab.cli.CompareCommand;
import lemonrail.lab.cli.HistoryCommand;
import lemonrail.lab.cli.LoadCommand;
import lemonrail.lab.cli.RelayCommand;
import lemonrail.lab.cli.ReportCommand;
import lemonrail.lab.cli.RunCommand;
import lemonrail.lab.cli.ScaleCommand;
import lemonrail.lab.cli.SweepCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ScopeType;

/** The entry point of the lab's command line. */
@Command(
        name = "lemonrail",
        description = "Simulated endpoints, load and measurements for an edge.",
        scope = ScopeType.INHERIT,
        mixinStandardHelpOptions = true,
        subcommands = {
            DemoCommand.class,
            RunCommand.class,
            CompareCommand.class,
            SweepCommand.class,
            LoadCommand.class,
            ReportCommand.class,
            HistoryCommand.class,
            RelayCommand.class,
            ScaleCommand.class
        })
public final class Main {

    private Main() {}

    /** Runs a command and exits with 0 on success, 1 if it failed, or 2 if the arguments are invalid. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        System.exit(new CommandLine(new Main())
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    line.getErr().println("lemonrail: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
                    return e instanceof IllegalArgumentException ? 2 : 1;
                })
                .execute(args));
    }
}
