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

/** {@code scale path}: measures the latency that a sidecar adds to a call and the resources that a call costs it. */
@Command(
        name = "path",
        description = "Measure what a sidecar adds to a call, compared with a direct call "
                + "and a plain relay; exits with 1 if the target is missed.")
public final class ScalePathCommand implements Callable<Integer> {

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "lab-runs/scale-path",
            description = "directory for the table, the raw data and the charts (default: ${DEFAULT-VALUE})")
    private Path outputFolder;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "4",
            description =
                    "number of measurements of each case, in turn; half as many for growth (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            converter = DurationConverter.class,
            defaultValue = "3s",
            description = "duration of each measurement (default: ${DEFAULT-VALUE})")
    private double lengthMs;

    @Option(names = "--ramp", description = "also search for the maximum rate of each kind of call")
    private boolean ramp;

    @Option(names = "--small", description = "short form that takes seconds; its figures are not meaningful")
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
        // On interruption, the shutdown waits until the results so far have been written.
        try (ShutdownInterrupter interrupter = new ShutdownInterrupter()) {
            try (TempDirectory temp = new TempDirectory();
                    PathRun run = PathRun.of(
                            plan, Path.of(System.getProperty("lemonrail.home", ".")), List.of(), temp.path(), report)) {
                run.run();
            } finally {
                report.write(outputFolder, Runner.version());
            }
        }
        out.println(outputFolder.resolve("path.md"));
        return report.isMet() ? 0 : 1;
    }
}
