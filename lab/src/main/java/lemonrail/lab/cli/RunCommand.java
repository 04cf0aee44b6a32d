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

/** {@code run}: plays scenarios, keeps what came of them and says so in a line each. */
@Command(name = "run", description = "Play scenarios; keep raw data, a report and charts of each run.")
public final class RunCommand implements Callable<Integer> {

    @Parameters(arity = "1..*", paramLabel = "SCENARIO", description = "a scenario's file")
    private List<Path> files;

    @Option(names = "--variant", paramLabel = "NAME", description = "only this one; may be given again")
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
            List<Scenario.Variant> chosen = variants.isEmpty()
                    ? scenario.variants()
                    : variants.stream()
                            .map(name -> CompareCommand.variant(scenario, name))
                            .toList();
            for (int seed = 1; seed <= options.seeds(scenario); seed++) {
                for (Scenario.Variant variant : chosen) {
                    jobs.add(new Runner.Job(scenario, variant, seed));
                }
            }
        }
        AtomicBoolean sound = new AtomicBoolean(true);
        options.runner().all(jobs, (job, kept) -> {
            if (kept.verdict().broken() > 0 || kept.isVoid()) {
                sound.set(false);
            }
        });
        return sound.get() ? 0 : 1;
    }
}
