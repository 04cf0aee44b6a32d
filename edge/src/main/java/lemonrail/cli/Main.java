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
 * The program's entry point. The two calls that a platform makes, {@code serve} and {@code simulator} (or its alias
 * {@code benchlink}) without options, are handled here; all others are parsed by picocli, which these two need
 * not load.
 */
public final class Main {

    /** The exit status of a call that has succeeded. */
    static final int OK = 0;

    /** The exit status of a call that has failed. */
    static final int FAILURE = 1;

    /** The exit status of a call whose arguments or configuration cannot be used. */
    static final int BAD_INPUT = 2;

    /** The environment variable that names the configuration where no option does. */
    static final String CONFIG_VARIABLE = "GW_CONFIG";

    /** The command that runs the load balancer for the simulator. */
    static final String SIMULATOR = "simulator";

    /** The alias of {@link #SIMULATOR} that the platform calls. */
    static final String BENCHLINK = "benchlink";

    private static final String SERVE = "serve";
    /** Netty's property for its events in Java's flight recorder. */
    private static final String NETTY_RECORDER_PROPERTY = "io.netty.jfr.enabled";

    private Main() {}

    /** Runs the program until it is done; a failure is one line on standard error and a status above 0. */
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
            return simulator(System.err);
        }
        configureNetty();
        return LemonrailCommand.run(args);
    }

    /**
     * Turns off what Netty would load at each start and few need: SLF4J, which it uses if it is there, and the
     * events of its buffers for Java's flight recorder, unless the recorder's property is set.
     */
    private static void configureNetty() {
        if (System.getProperty(NETTY_RECORDER_PROPERTY) == null) {
            System.setProperty(NETTY_RECORDER_PROPERTY, "false");
        }
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** Runs the load balancer for the simulator on the process's own streams; returns the exit status. */
    static int simulator(PrintStream errors) throws IOException {
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            return simulator(in, out, errors);
        }
    }

    /** Runs the load balancer for the simulator on these streams; returns the exit status. */
    public static int simulator(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        try {
            new SimulatorAdapter(in, out, errors).run();
            return OK;
        } catch (SimulatorProtocolException e) {
            errors.println("lemonrail: " + e.getMessage());
            return FAILURE;
        }
    }

    /** Starts an edge, to run until SIGTERM; returns the exit status, above 0 if the start has failed. */
    static int serve(Path file, PrintStream errors) {
        configureNetty();
        return new SidecarProcess(file, System.getenv(), errors).start();
    }
}
