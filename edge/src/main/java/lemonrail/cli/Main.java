package lemonrail.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import lemonrail.simulator.SimulatorAdapter;
import lemonrail.simulator.SimulatorProtocolException;

/**
 * The program's entry point. The two commands that a platform runs, {@code serve} and {@code simulator} (or its
 * alias {@code benchlink}) without options, are handled here so that their start does not load picocli, which
 * parses all other command lines.
 */
public final class Main {

    /** The exit status of a command that has succeeded. */
    static final int OK = 0;

    /** The exit status of a command that has failed. */
    static final int FAILURE = 1;

    /** The exit status of a command whose arguments or configuration are invalid. */
    static final int BAD_INPUT = 2;

    /** The environment variable that names the configuration file if no option does. */
    static final String CONFIG_VARIABLE = "GW_CONFIG";

    /** The command that runs the load balancer for the simulator. */
    static final String SIMULATOR = "simulator";

    /** The alias of {@link #SIMULATOR} that the platform calls. */
    static final String BENCHLINK = "benchlink";

    private static final String SERVE = "serve";
    /** The system property that enables Netty's Java Flight Recorder events. */
    private static final String NETTY_RECORDER_PROPERTY = "io.netty.jfr.enabled";

    private Main() {}

    /** Runs a command; a failure prints one line on standard error and exits with a status above 0. */
    public static void main(String[] args) throws IOException {
        int status = run(args);
        if (status != OK) {
            System.exit(status);
        }
    }

    private static int run(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        String configuration = System.getenv(CONFIG_VARIABLE);
        if (command.equals(SERVE) && configuration != null) {
            return serve(Path.of(configuration), System.err);
        }
        if (command.equals(SIMULATOR) || command.equals(BENCHLINK)) {
            return runSimulator(System.err);
        }
        configureNetty();
        return LemonrailCommand.run(args);
    }

    /**
     * Disables rarely used parts of Netty that would slow each start: SLF4J, which Netty uses if it is on the class
     * path, and the Java Flight Recorder events of its buffers, unless their system property is set.
     */
    private static void configureNetty() {
        if (System.getProperty(NETTY_RECORDER_PROPERTY) == null) {
            System.setProperty(NETTY_RECORDER_PROPERTY, "false");
        }
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** Runs the load balancer for the simulator on standard input and output; returns the exit status. */
    static int runSimulator(PrintStream errors) throws IOException {
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            return runSimulator(in, out, errors);
        }
    }

    /** Runs the load balancer for the simulator on these streams; returns the exit status. */
    public static int runSimulator(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        try {
            new SimulatorAdapter(in, out, errors).run();
            return OK;
        } catch (SimulatorProtocolException e) {
            errors.println("lemonrail: " + e.getMessage());
            return FAILURE;
        }
    }

    /** Starts an edge, which then runs until SIGTERM; returns the exit status, above 0 if the start failed. */
    static int serve(Path file, PrintStream errors) {
        configureNetty();
        return new SidecarProcess(file, System.getenv(), errors).start();
    }
}
