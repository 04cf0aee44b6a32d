package lemonrail.lab.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * {@code scale}: groups the commands that measure the cost of the control plane and of the data path at target scale.
 */
@Command(
        name = "scale",
        description = "Measure the cost of the control plane and of the data path at scale.",
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
