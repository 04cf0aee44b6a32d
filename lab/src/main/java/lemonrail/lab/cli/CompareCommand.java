package lemonrail.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import lemonrail.lab.report.Comparison;
import lemonrail.lab.scenario.Scenario;
import lemonrail.lab.scenario.ScenarioFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code compare}: variants on the same scenarios and seeds, in turn, and whether they differ. */
@Command(
        name = "compare",
        description = "Play variants in turn on the same seeds and say, with a 95 %% "
                + "interval by bootstrap, whether they differ from the first.")
public final class CompareCommand implements Callable<Integer> {

    @Parameters(arity = "2..*", paramLabel = "VARIANT", description = "variants that the scenarios have")
    private List<String> variants;

    @Option(
            names = "--in",
            required = true,
            paramLabel = "SCENARIO",
            arity = "1..*",
            description = "a scenario's file; may be given again")
    private List<Path> files;

    @Mixin
    private RunOptions options;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<Runner.Job> jobs = new ArrayList<>();
        for (Path file : files) {
            Scenario scenario = ScenarioFile.read(file);
            for (int seed = 1; seed <= options.seeds(scenario); seed++) {
                for (String name : variants) {
                    jobs.add(new Runner.Job(scenario, variant(scenario, name), seed));
                }
            }
        }
        Comparison comparison = new Comparison(variants);
        Runner runner = options.runner();
        try {
            runner.all(
                    jobs,
                    (job, kept) -> comparison.add(new Comparison.Entry(
                            job.scenario().name(), job.variant().name(), job.seed(), kept.verdict(), kept.isVoid())));
        } finally {
            // An interrupted comparison keeps what it has.
            comparison.keep(runner.folder().resolve("compare"), Runner.version());
        }
        comparison.sentences().forEach(spec.commandLine().getOut()::println);
        spec.commandLine().getOut().println(runner.folder().resolve("compare").resolve("compare.md"));
        return 0;
    }

    static Scenario.Variant variant(Scenario scenario, String name) {
        return scenario.variants().stream()
                .filter(variant -> variant.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException(scenario.file() + ": no such variant: " + name + "; it has "
                                + scenario.variants().stream()
                                        .map(Scenario.Variant::name)
                                        .toList()));
    }
}
