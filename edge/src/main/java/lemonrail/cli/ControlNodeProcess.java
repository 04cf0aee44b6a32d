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

/** Runs a control node as a process: loads its configuration, opens its log and handles its signals. */
final class ControlNodeProcess {

    private final ControlFile source;
    private final PrintStream errors;

    ControlNodeProcess(Path file, Map<String, String> environment, PrintStream errors) {
        source = new ControlFile(file, environment);
        this.errors = errors;
    }

    /** Starts the node, which then runs until SIGTERM; returns the exit status, above 0 if the start failed. */
    int start() {
        // Installed before anything else, because SIGHUP ends a process without a handler.
        CompletableFuture<LogSink> started = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), signal -> started.thenAccept(this::reload));
        try {
            ControlConfig config = source.load().config();
            LogSink log = LogSinks.open(config.logging(), errors);
            ControlNode node = ControlNode.create(config, log);
            try {
                node.open();
            } catch (IOException e) {
                log.close();
                return StartupErrors.print(errors, e, Main.FAILURE);
            }
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, log), "stop"));
            started.complete(log);
            return Main.OK;
        } catch (IllegalArgumentException e) {
            return StartupErrors.print(errors, e, Main.BAD_INPUT);
        } catch (IOException | RuntimeException e) {
            return StartupErrors.print(errors, e, Main.FAILURE);
        }
    }

    /** Stops the node and halts from the shutdown hook, so that SIGTERM ends the process with exit status 0. */
    private static void stop(ControlNode node, LogSink log) {
        node.stop();
        log.close();
        Runtime.getRuntime().halt(Main.OK);
    }

    /** Applies the log levels of the file; other changes take effect at the next start. */
    private void reload(LogSink log) {
        try {
            source.load().config().logging().levels().forEach(log::setLevel);
        } catch (IOException | RuntimeException e) {
            StartupErrors.print(errors, e, Main.BAD_INPUT);
        }
    }
}
