package lemonrail.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import lemonrail.config.ControlConfig;
import lemonrail.config.ControlFile;
import lemonrail.control.ControlNode;
import lemonrail.logging.LogSink;
import lemonrail.logging.LogSinks;

/** One control node as a process. */
final class Controlling {

    private final ControlFile source;
    private final PrintStream errors;

    Controlling(Path file, Map<String, String> environment, PrintStream errors) {
        source = new ControlFile(file, environment);
        this.errors = errors;
    }

    /** Starts it, to run until SIGTERM; returns the exit status, which is above 0 if the start has failed. */
    int start() {
        try {
            ControlConfig config = source.load().config();
            LogSink log = LogSinks.open(config.logging(), errors);
            ControlNode node = ControlNode.create(config, log);
            try {
                node.open();
            } catch (IOException e) {
                log.close();
                return fail(e, Main.FAILURE);
            }
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                node.stop();
                log.close();
                Runtime.getRuntime().halt(Main.OK);
            }, "stop"));
            return Main.OK;
        } catch (IllegalArgumentException e) {
            return fail(e, Main.BAD_INPUT);
        } catch (IOException | RuntimeException e) {
            return fail(e, Main.FAILURE);
        }
    }

    private int fail(Exception e, int status) {
        errors.println("lemonrail: " + (e.getMessage() == null ? e.toString()
            : e.getMessage().lines().findFirst().orElse("")));
        return status;
    }
}
