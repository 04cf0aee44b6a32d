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

/** {@code compare}: runs variants on the same scenarios and seeds and reports whether they differ significantly. */
@Command(
        name = "compare",
        description = "Run variants in turn on the same seeds and report, with a 95 %% "
                + "bootstrap confidence interval, whether they differ from the first one.")
public final class CompareCommand implements Callable<Integer> {

    @Parameters(
            arity = "2..*",
            paramLabel = "VARIANT",
            description = "names of variants, which every scenario must have")
    private List<String> variants;

    @Option(
            names = "--in",
            required = true,
            paramLabel = "SCENARIO",
            arity = "1..*",
            description = "scenario file; may be repeated")
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
                    jobs.add(new Runner.Job(scenario, findVariant(scenario, name), seed));
                }
            }
        }
        Comparison comparison = new Comparison(variants);
        Runner runner = options.runner();
        try {
            runner.runAll(
                    jobs,
                    (job, completed) -> comparison.add(new Comparison.Entry(
                            job.scenario().name(),
                            job.variant().name(),
                            job.seed(),
                            completed.verdict(),
                            completed.isVoid())));
        } finally {
            // An interrupted comparison still writes the results of the finished runs.
            comparison.write(runner.folder().resolve("compare"), Runner.version());
        }
        comparison.conclusions().forEach(spec.commandLine().getOut()::println);
        spec.commandLine().getOut().println(runner.folder().resolve("compare").resolve("compare.md"));
        return 0;
    }

    static Scenario.Variant findVariant(Scenario scenario, String name) {
        return scenario.variants().stream()
                .filter(variant -> variant.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        scenario.file() + ": unknown variant: " + name + "; the scenario has "
                                + scenario.variants().stream()
                                        .map(Scenario.Variant::name)
                                        .toList()));
    }
}
