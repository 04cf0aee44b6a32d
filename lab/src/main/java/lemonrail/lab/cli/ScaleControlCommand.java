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

/**
 * {@code scale control}: measures slopes and storms of the control plane, with simulated (hollow) and real sidecars.
 */
@Command(
        name = "control",
        description = "Measure how the cost of the control plane grows (slopes), and run storms on it.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {
            "0:all targets are met",
            "1:a target is missed, a storm was not carried out, or a measurement is void or was interrupted",
            "2:the arguments or the scenario file are invalid"
        })
public final class ScaleControlCommand implements Callable<Integer> {

    @Parameters(
            arity = "0..1",
            paramLabel = "SCENARIO",
            description = "scale scenario file " + "(default: " + "lab/scenarios/scale.toml)")
    private Path file;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "lab-runs/scale",
            description = "directory for the table, the raw data and the charts (default: ${DEFAULT-VALUE})")
    private Path outputFolder;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "0",
            description = "number of control nodes, over the regions of the site; 0 for a single registry (default: "
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
        try (ShutdownInterrupter interrupter = new ShutdownInterrupter();
                TempDirectory temp = new TempDirectory()) {
            ScaleResults results = ScaleRun.run(
                    scenario,
                    ServeCommand.of(home),
                    temp.path(),
                    Runner.version(),
                    nodes == 0
                            ? RegistryControlPlane::new
                            : () -> new NodesControlPlane(nodes, scenario.site().regions()),
                    out);
            Path folder = outputFolder.resolve(scenario.name());
            results.write(folder);
            out.println(results.table(Slope.of(results.points())));
            out.println(folder.resolve("table.md"));
            return results.passes() ? 0 : 1;
        }
    }
}
