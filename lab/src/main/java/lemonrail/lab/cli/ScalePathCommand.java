package lemonrail.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import lemonrail.lab.scale.path.PathPlan;
import lemonrail.lab.scale.path.PathReport;
import lemonrail.lab.scale.path.PathRun;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code scale path}: what a sidecar itself adds to a call, and what a call costs it. */
@Command(
        name = "path",
        description = "Measure what a sidecar adds to a call, beside a direct call "
                + "and a bare relay; 1 where the target is missed.")
public final class ScalePathCommand implements Callable<Integer> {

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "lab-runs/scale-path",
            description = "where table, raw data and charts go (default: ${DEFAULT-VALUE})")
    private Path kept;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "4",
            description = "measurements of each, in turn; growth gets half (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            converter = Times.class,
            defaultValue = "3s",
            description = "each measurement (default: ${DEFAULT-VALUE})")
    private double lengthMs;

    @Option(names = "--ramp", description = "search for the maximum rate of each way as well")
    private boolean ramp;

    @Option(names = "--small", description = "the small form of seconds, whose figures say nothing")
    private boolean small;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PathPlan plan = small ? PathPlan.small() : PathPlan.large(rounds, lengthMs, ramp);
        PathReport report = new PathReport(line -> {
            out.println(line);
            out.flush();
        });
        // An interrupted run's end waits until what there is has been kept.
        try (Interrupts interrupts = new Interrupts()) {
            try (Scratch files = new Scratch();
                    PathRun run = PathRun.of(
                            plan,
                            Path.of(System.getProperty("lemonrail.home", ".")),
                            List.of(),
                            files.path(),
                            report)) {
                run.run();
            } finally {
                report.write(kept, Runner.version());
            }
        }
        out.println(kept.resolve("path.md"));
        return report.isMet() ? 0 : 1;
    }
}
