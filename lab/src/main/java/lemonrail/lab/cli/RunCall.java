package lemonrail.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import lemonrail.lab.report.Verdict;
import lemonrail.lab.scenario.Scenario;
import lemonrail.lab.scenario.ScenarioFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code run}: plays scenarios, keeps what came of them and says so in a line each. */
@Command(name = "run", description = "Play scenarios; keep raw data, a report and charts of each run.")
public final class RunCall implements Callable<Integer> {

    @Parameters(arity = "1..*", paramLabel = "SCENARIO", description = "a scenario's file")
    private List<Path> files;

    @Option(names = "--variant", paramLabel = "NAME", description = "only this one; may be given again")
    private List<String> variants = new ArrayList<>();

    @Option(names = "--seeds", paramLabel = "N", description = "seeds 1 to N instead of the scenario's")
    private Integer seeds;

    @Mixin
    private RunOptions options;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<Scenario> scenarios = new ArrayList<>();
        for (Path file : files) {
            scenarios.add(ScenarioFile.read(file));
        }
        boolean sound = true;
        Runner runner = options.runner();
        for (Scenario scenario : scenarios) {
            List<Scenario.Variant> chosen = scenario.variants().stream()
                .filter(variant -> variants.isEmpty() || variants.contains(variant.name())).toList();
            if (chosen.isEmpty()) {
                throw new IllegalArgumentException(scenario.file() + ": no such variant: " + variants
                    + "; it has " + scenario.variants().stream().map(Scenario.Variant::name).toList());
            }
            for (int seed = 1; seed <= (seeds == null ? scenario.seeds() : seeds); seed++) {
                for (Scenario.Variant variant : chosen) {
                    Verdict verdict = runner.run(scenario, variant, seed).verdict();
                    sound &= verdict.broken() == 0;
                }
            }
        }
        return sound ? 0 : 1;
    }
}
