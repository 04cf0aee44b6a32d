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
 * The program's entry. The two calls that a platform makes, {@code serve} and {@code benchlink} without
 * options, go straight on; all others are parsed by a library that these two need not load.
 */
public final class Main {

    /** Exit statuses: all is well; it has failed; the call or the configuration is no good. */
    static final int OK = 0;

    static final int FAILURE = 1;
    static final int BAD_INPUT = 2;

    /** The variable that names the configuration where no option does. */
    static final String CONFIG_VARIABLE = "GW_CONFIG";

    /** Netty's property for its events in Java's flight recorder. */
    private static final String NETTY_RECORDER = "io.netty.jfr.enabled";

    private Main() {}

    /** Runs the program until it is done; a failure is one plain line and a status above 0. */
    public static void main(String[] args) throws IOException {
        int status;
        String only = args.length == 1 ? args[0] : "";
        if (only.equals("serve") && System.getenv(CONFIG_VARIABLE) != null) {
            status = serve(Path.of(System.getenv(CONFIG_VARIABLE)), System.err);
        } else if (only.equals("benchlink")) {
            status = benchlink(System.err);
        } else {
            leanNetty();
            status = CommandLineCalls.run(args);
        }
        if (status != OK) {
            System.exit(status);
        }
    }

    /**
     * Has Netty leave out what few need and each start would pay for: SLF4J, which it takes where it finds
     * it, and events of its buffers for Java's flight recorder, which load and generate that recorder's
     * classes. Whoever sets the recorder's property keeps its events.
     */
    private static void leanNetty() {
        if (System.getProperty(NETTY_RECORDER) == null) {
            System.setProperty(NETTY_RECORDER, "false");
        }
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** The adapter on the process's own streams. */
    static int benchlink(PrintStream errors) throws IOException {
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            return benchlink(in, out, errors);
        }
    }

    /** The adapter on streams of the caller's; returns the exit status. */
    public static int benchlink(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        try {
            new SimulatorAdapter(in, out, errors).run();
            return OK;
        } catch (SimulatorProtocolException e) {
            errors.println("lemonrail: " + e.getMessage());
            return FAILURE;
        }
    }

    /** Starts an edge, to run until SIGTERM; returns the exit status of a start that failed. */
    static int serve(Path file, PrintStream errors) {
        leanNetty();
        return new SidecarProcess(file, System.getenv(), errors).start();
    }
}
