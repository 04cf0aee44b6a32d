package lemonrail.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs an edge. */
@Command(name = "serve", description = "Run an edge until SIGTERM; SIGHUP reloads the configuration.")
final class ServeCommand implements Callable<Integer> {

    @Mixin
    private ConfigOption config;

    @Override
    public Integer call() {
        return Main.serve(config.file(), System.err);
    }
}
