package lemonrail.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import lemonrail.assembly.Sidecar;
import lemonrail.config.ConfigSource;
import lemonrail.config.LoadedConfiguration;
import lemonrail.http1.Http1Protocol;
import lemonrail.logging.LogSink;
import lemonrail.logging.LogSinks;
import sun.misc.Signal;

/** One edge as a process: its configuration and log, and what signals do. */
final class SidecarProcess {

    private final ConfigSource source;
    private final PrintStream errors;

    SidecarProcess(Path file, Map<String, String> environment, PrintStream errors) {
        source = ConfigSource.of(file, environment);
        this.errors = errors;
    }

    /** Starts it, to run until SIGTERM; returns the exit status, which is above 0 if the start has failed. */
    int start() {
        // Before all else: until there is a handler, SIGHUP ends the program.
        CompletableFuture<Sidecar> running = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), signal -> running.thenAccept(Sidecar::reload));
        try {
            LoadedConfiguration loaded = source.load();
            LogSink log = LogSinks.open(loaded.config().logging(), errors);
            Sidecar sidecar = Sidecar.create(new Http1Protocol(), source, loaded, log);
            // Halting from the hook, once empty, makes a stop by SIGTERM a clean exit.
            Thread stop = new Thread(
                    () -> {
                        sidecar.terminate();
                        log.close();
                        Runtime.getRuntime().halt(Main.OK);
                    },
                    "stop");
            Runtime.getRuntime().addShutdownHook(stop);
            try {
                sidecar.open();
            } catch (IOException e) {
                Runtime.getRuntime().removeShutdownHook(stop);
                log.close();
                return fail(e, Main.FAILURE);
            }
            running.complete(sidecar);
            if (SignalMask.ignores(SignalMask.HUP)) {
                sidecar.reloadsAreOff("SIGHUP is ignored, as in all that nohup starts");
            }
            return Main.OK;
        } catch (IllegalArgumentException e) {
            return fail(e, Main.BAD_INPUT);
        } catch (IOException | RuntimeException e) {
            return fail(e, Main.FAILURE);
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
