package lemonrail.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs a control node. */
@Command(
        name = "control",
        description = "Run a control node until SIGTERM; its configuration file has a table [control].")
final class ControlCommand implements Callable<Integer> {

    @Mixin
    private ConfigOption config;

    @Override
    public Integer call() {
        return new ControlNodeProcess(config.file(), System.getenv(), System.err).start();
    }
}
