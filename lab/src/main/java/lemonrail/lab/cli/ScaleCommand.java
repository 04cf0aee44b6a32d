package lemonrail.lab.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** {@code scale}: what control and the data path cost at the size that is aimed at, each by its own call. */
@Command(
        name = "scale",
        description = "Measure what control and the data path cost at size.",
        subcommands = {ScaleControlCommand.class, ScalePathCommand.class})
public final class ScaleCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }
}
