package lemonrail.lab.cli;

import java.nio.file.Path;
import lemonrail.lab.scenario.Scenario;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Options of all calls that play scenarios. */
final class RunOptions {

    private static final int MOST_PARALLEL = 64;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "lab-runs",
            description = "where the folders of the runs go (default: ${DEFAULT-VALUE})")
    private Path out;

    @Option(names = "--jar", paramLabel = "FILE", description = "the edge that runs where sidecars are processes")
    private Path jar;

    @Option(names = "--seeds", paramLabel = "N", description = "seeds 1 to N instead of the scenario's")
    private Integer seeds;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            defaultValue = "1",
            description = "runs at once (default: ${DEFAULT-VALUE}); a run whose lab is late is void")
    private int parallel;

    /** How many seeds a scenario's variants play. */
    int seeds(Scenario scenario) {
        return seeds == null ? scenario.seeds() : seeds;
    }

    Runner runner() {
        if (parallel < 1 || parallel > MOST_PARALLEL) {
            throw new IllegalArgumentException("--parallel " + parallel + ": must be from 1 to " + MOST_PARALLEL);
        }
        Path usual = Path.of(System.getProperty("lemonrail.home", "."), "edge", "target", "lemonrail.jar");
        return new Runner(
                out, jar == null ? usual : jar, spec.commandLine().getOut(), System.console() != null, parallel);
    }
}
