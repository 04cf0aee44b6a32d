package lemonrail.lab;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import lemonrail.lab.cli.CompareCall;
import lemonrail.lab.cli.HistoryCall;
import lemonrail.lab.cli.LoadCall;
import lemonrail.lab.cli.RelayCall;
import lemonrail.lab.cli.ReportCall;
import lemonrail.lab.cli.RunCall;
import lemonrail.lab.cli.ScaleCall;
import lemonrail.lab.cli.SweepCall;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ScopeType;

/** The lab's command line. */
@Command(
        name = "lemonrail",
        description = "Stand-ins and load for an edge.",
        scope = ScopeType.INHERIT,
        mixinStandardHelpOptions = true,
        subcommands = {
            DemoCall.class,
            RunCall.class,
            CompareCall.class,
            SweepCall.class,
            LoadCall.class,
            ReportCall.class,
            HistoryCall.class,
            RelayCall.class,
            ScaleCall.class
        })
public final class Main {

    private Main() {}

    /** Carries a call out; the status is 0, 1 where it has failed, or 2 where the call is no good. */
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
