package lemonrail.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs the load balancer for the simulator. */
@Command(
        name = Main.SIMULATOR,
        aliases = Main.BENCHLINK,
        description = "Run the load balancer for the simulator over standard input and output.")
final class SimulatorCommand implements Callable<Integer> {

    @Override
    public Integer call() throws IOException {
        return Main.runSimulator(System.err);
    }
}
