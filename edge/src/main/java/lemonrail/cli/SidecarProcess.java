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
import lemonrail.lifecycle.EventLoopThreadFactory;
import lemonrail.logging.LogSink;
import lemonrail.logging.LogSinks;
import sun.misc.Signal;

/** Runs a sidecar as a process: loads its configuration, opens its log and handles its signals. */
final class SidecarProcess {

    private final ConfigSource source;
    private final PrintStream errors;

    SidecarProcess(Path file, Map<String, String> environment, PrintStream errors) {
        source = ConfigSource.of(file, environment);
        this.errors = errors;
    }

    /** Starts the sidecar, which then runs until SIGTERM; returns the exit status, above 0 if the start failed. */
    int start() {
        // Installed before anything else, because SIGHUP ends a process without a handler.
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
                sidecar.logReloadSignalIgnored("SIGHUP is ignored, as in every process that nohup starts");
            }
            return Main.OK;
        } catch (IllegalArgumentException e) {
            return StartupErrors.print(errors, e, Main.BAD_INPUT);
        } catch (IOException | RuntimeException e) {
            return StartupErrors.print(errors, e, Main.FAILURE);
        }
    }

    /**
     * Drains all connections, then halts from the shutdown hook, so that SIGTERM ends the process with exit status 0,
     * unless it could not be shut down as described.
     */
    private void shutDown(Sidecar sidecar, LogSink log) {
        int status = EventLoopThreadFactory.EXIT_STATUS;
        try {
            sidecar.shutdownGracefully();
            status = Main.OK;
        } catch (RuntimeException e) {
            errors.println("lemonrail: the shutdown has failed: " + e);
        } finally {
            log.close();
            Runtime.getRuntime().halt(status);
        }
    }
}
