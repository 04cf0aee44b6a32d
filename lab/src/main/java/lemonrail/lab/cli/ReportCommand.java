package lemonrail.lab.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import lemonrail.lab.report.Report;
import lemonrail.lab.report.RunFolder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code report}: renders the reports and charts of runs again from their stored data. */
@Command(name = "report", description = "Render the reports and charts of runs again from their raw data.")
public final class ReportCommand implements Callable<Integer> {

    @Parameters(arity = "1..*", paramLabel = "DIR", description = "directories of runs")
    private List<Path> folders;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        for (Path folder : folders) {
            if (!Files.isRegularFile(folder.resolve("run.json"))) {
                throw new IllegalArgumentException(folder + ": not the directory of a run; run.json is missing");
            }
            Report.render(new RunFolder(folder));
            spec.commandLine().getOut().println(folder.resolve("report.md"));
        }
        return 0;
    }
}
