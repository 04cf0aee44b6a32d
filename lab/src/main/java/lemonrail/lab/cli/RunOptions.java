package lemonrail.lab.cli;

import java.nio.file.Path;
import lemonrail.lab.scenario.Scenario;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Options shared by all commands that run scenarios. */
final class RunOptions {

    private static final int MAX_PARALLEL = 64;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "lab-runs",
            description = "directory in which the results of runs are stored (default: ${DEFAULT-VALUE})")
    private Path out;

    @Option(names = "--jar", paramLabel = "FILE", description = "build of the edge for sidecars in separate processes")
    private Path jar;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            description = "run seeds 1 to N instead of the number set by the scenario")
    private Integer seeds;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            defaultValue = "1",
            description =
                    "number of parallel runs (default: ${DEFAULT-VALUE}); a run is void if the lab itself is late")
    private int parallel;

    /** Returns the number of seeds to run for each variant of a scenario. */
    int seeds(Scenario scenario) {
        return seeds == null ? scenario.seeds() : seeds;
    }

    Runner runner() {
        if (parallel < 1 || parallel > MAX_PARALLEL) {
            throw new IllegalArgumentException("--parallel " + parallel + ": must be from 1 to " + MAX_PARALLEL);
        }
        Path defaultJar = Path.of(System.getProperty("lemonrail.home", "."), "edge", "target", "lemonrail.jar");
        return new Runner(
                out, jar == null ? defaultJar : jar, spec.commandLine().getOut(), System.console() != null, parallel);
    }
}
