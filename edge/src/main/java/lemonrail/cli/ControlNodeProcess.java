package lemonrail.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import lemonrail.config.ControlConfig;
import lemonrail.config.ControlFile;
import lemonrail.control.ControlNode;
import lemonrail.logging.LogSink;
import lemonrail.logging.LogSinks;
import sun.misc.Signal;

/** One control node as a process. */
final class ControlNodeProcess {

    private final ControlFile source;
    private final PrintStream errors;

    ControlNodeProcess(Path file, Map<String, String> environment, PrintStream errors) {
        source = new ControlFile(file, environment);
        this.errors = errors;
    }

    /** Starts it, to run until SIGTERM; returns the exit status, which is above 0 if the start has failed. */
    int start() {
        // Before all else: until there is a handler, SIGHUP ends the program.
        CompletableFuture<LogSink> running = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), signal -> running.thenAccept(this::reload));
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
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                node.stop();
                                log.close();
                                Runtime.getRuntime().halt(Main.OK);
                            },
                            "stop"));
            running.complete(log);
            return Main.OK;
        } catch (IllegalArgumentException e) {
            return fail(e, Main.BAD_INPUT);
        } catch (IOException | RuntimeException e) {
            return fail(e, Main.FAILURE);
        }
    }

    /** Levels of the log are taken up at once; all else holds from the next start on. */
    private void reload(LogSink log) {
        try {
            source.load().config().logging().levels().forEach(log::level);
        } catch (IOException | RuntimeException e) {
            fail(e, Main.BAD_INPUT);
        }
    }

    private int fail(Exception e, int status) {
        errors.println("lemonrail: "
                + (e.getMessage() == null
                        ? e.toString()
                        : e.getMessage().lines().findFirst().orElse("")));
        return status;
    }
}
