package lemonrail.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import lemonrail.assembly.Sidecar;
import lemonrail.assembly.SidecarBuilder;
import lemonrail.config.ConfigSource;
import lemonrail.config.LoadedConfiguration;
import lemonrail.http1.Http1Protocol;
import lemonrail.logging.LogSink;
import lemonrail.logging.LogSinks;
import sun.misc.Signal;

/** A sidecar as a process: its configuration, its log and its signals. */
final class SidecarProcess {

    private final ConfigSource source;
    private final PrintStream errors;

    SidecarProcess(Path file, Map<String, String> environment, PrintStream errors) {
        source = ConfigSource.of(file, environment);
        this.errors = errors;
    }

    /** Starts the sidecar, to run until SIGTERM; returns the exit status, above 0 if the start has failed. */
    int start() {
        // First of all: a process without a handler ends on SIGHUP.
        CompletableFuture<Sidecar> started = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), signal -> started.thenAccept(Sidecar::reload));
        try {
            LoadedConfiguration loaded = source.load();
            LogSink log = LogSinks.open(loaded.config().logging(), errors);
            Sidecar sidecar = new SidecarBuilder(new Http1Protocol(), source, loaded, log).build();
            Thread shutdownHook = new Thread(() -> shutDown(sidecar, log), "stop");
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            try {
                sidecar.start();
            } catch (IOException e) {
                Runtime.getRuntime().removeShutdownHook(shutdownHook);
                log.close();
                return StartupErrors.print(errors, e, Main.FAILURE);
            }
            started.complete(sidecar);
            if (SignalMask.ignores(SignalMask.HUP)) {
                sidecar.reloadSignalIgnored("SIGHUP is ignored, as in all that nohup starts");
            }
            return Main.OK;
        } catch (IllegalArgumentException e) {
            return StartupErrors.print(errors, e, Main.BAD_INPUT);
        } catch (IOException | RuntimeException e) {
            return StartupErrors.print(errors, e, Main.FAILURE);
        }
    }

    /** Halting from the hook, once all connections are empty, makes a stop by SIGTERM a clean exit. */
    private static void shutDown(Sidecar sidecar, LogSink log) {
        sidecar.shutdownGracefully();
        log.close();
        Runtime.getRuntime().halt(Main.OK);
    }
}
