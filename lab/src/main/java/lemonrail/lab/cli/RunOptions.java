package lemonrail.lab.cli;

import java.nio.file.Path;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Options of all calls that play scenarios. */
final class RunOptions {

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(names = "--out", paramLabel = "DIR", defaultValue = "lab-runs",
        description = "where the folders of the runs go (default: ${DEFAULT-VALUE})")
    private Path out;

    @Option(names = "--jar", paramLabel = "FILE",
        description = "the edge that runs where sidecars are processes")
    private Path jar;

    Runner runner() {
        Path usual = Path.of(System.getProperty("lemonrail.home", "."), "edge", "target", "lemonrail.jar");
        return new Runner(out, jar == null ? usual : jar, spec.commandLine().getOut(),
            System.console() != null);
    }
}
