package lemonrail.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;
import lemonrail.lab.scenario.Scenario;
import lemonrail.lab.scenario.ScenarioFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code run}: runs scenarios, stores the results and prints one line for each run. */
@Command(name = "run", description = "Run scenarios and store raw data, a report and charts of each run.")
public final class RunCommand implements Callable<Integer> {

    @Parameters(arity = "1..*", paramLabel = "SCENARIO", description = "scenario file")
    private List<Path> files;

    @Option(names = "--variant", paramLabel = "NAME", description = "run only this variant; may be repeated")
    private List<String> variants = new ArrayList<>();

    @Mixin
    private RunOptions options;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<Scenario> scenarios = new ArrayList<>();
        for (Path file : files) {
            scenarios.add(ScenarioFile.read(file));
        }
        List<Runner.Job> jobs = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            List<Scenario.Variant> selected = variants.isEmpty()
                    ? scenario.variants()
                    : variants.stream()
                            .map(name -> CompareCommand.findVariant(scenario, name))
                            .toList();
            for (int seed = 1; seed <= options.seeds(scenario); seed++) {
                for (Scenario.Variant variant : selected) {
                    jobs.add(new Runner.Job(scenario, variant, seed));
                }
            }
        }
        AtomicBoolean allPassed = new AtomicBoolean(true);
        options.runner().runAll(jobs, (job, completed) -> {
            if (completed.verdict().broken() > 0 || completed.isVoid()) {
                allPassed.set(false);
            }
        });
        return allPassed.get() ? 0 : 1;
    }
}
