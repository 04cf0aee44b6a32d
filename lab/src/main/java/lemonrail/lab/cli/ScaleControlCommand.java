package lemonrail.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import lemonrail.lab.scale.NodesControlPlane;
import lemonrail.lab.scale.RegistryControlPlane;
import lemonrail.lab.scale.ScaleFile;
import lemonrail.lab.scale.ScaleResults;
import lemonrail.lab.scale.ScaleRun;
import lemonrail.lab.scale.ScaleScenario;
import lemonrail.lab.scale.ServeCommand;
import lemonrail.lab.scale.Slope;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code scale control}: slopes and storms of control, with hollow sidecars beside real ones. */
@Command(
        name = "control",
        description = "Measure the slopes of control, and play storms on it.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {
            "0:all targets are met",
            "1:a target is missed, something is not carried, void or cut short",
            "2:the call or the file is no good"
        })
public final class ScaleControlCommand implements Callable<Integer> {

    @Parameters(
            arity = "0..1",
            paramLabel = "SCENARIO",
            description = "a file like " + "lab/scenarios/scale.toml, " + "which is played where none is given")
    private Path file;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "lab-runs/scale",
            description = "where the table, the raw data and the charts go (default: ${DEFAULT-VALUE})")
    private Path kept;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "0",
            description = "so many control nodes, in the site's regions; 0 for one plain registry (default: "
                    + "${DEFAULT-VALUE})")
    private int nodes;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        Path home = Path.of(System.getProperty("lemonrail.home", "."))
                .toAbsolutePath()
                .normalize();
        ScaleScenario scenario = ScaleFile.read(file == null ? home.resolve("lab/scenarios/scale.toml") : file);
        try (Interrupts interrupts = new Interrupts();
                Scratch scratch = new Scratch()) {
            ScaleResults results = ScaleRun.run(
                    scenario,
                    ServeCommand.of(home),
                    scratch.path(),
                    Runner.version(),
                    nodes == 0
                            ? RegistryControlPlane::new
                            : () -> new NodesControlPlane(nodes, scenario.site().regions()),
                    out);
            Path folder = kept.resolve(scenario.name());
            results.write(folder);
            out.println(results.table(Slope.of(results.points())));
            out.println(folder.resolve("table.md"));
            return results.passes() ? 0 : 1;
        }
    }
}
