package lemonrail.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import lemonrail.lab.model.Clients.Retrying;
import lemonrail.lab.report.Sweep;
import lemonrail.lab.scenario.EdgeSettings;
import lemonrail.lab.scenario.Scenario;
import lemonrail.lab.scenario.ScenarioFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code sweep}: runs a scenario at several values of one setting and finds the knee of its service score. */
@Command(name = "sweep", description = "Run a scenario at several values of one setting and find the knee.")
public final class SweepCommand implements Callable<Integer> {

    private static final List<String> SCENARIO_KEYS =
            List.of("load.rate", "clients.retries", "tiers.count", "sidecars.front");

    @Parameters(paramLabel = "SCENARIO", description = "scenario file")
    private Path file;

    @Option(
            names = "--set",
            required = true,
            paramLabel = "KEY",
            description = "load.rate, clients.retries, "
                    + "tiers.count (of the first tier) or sidecars.front of the scenario, or a key of the edge such as "
                    + "limits.attempts")
    private String key;

    @Option(
            names = "--values",
            required = true,
            split = ",",
            paramLabel = "N",
            description = "values of the setting, separated by commas")
    private List<Double> values;

    @Option(
            names = "--variant",
            paramLabel = "NAME",
            description = "variant to run (default: the first of the scenario)")
    private String variant;

    @Mixin
    private RunOptions options;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = ScenarioFile.read(file);
        Scenario.Variant base =
                variant == null ? scenario.variants().get(0) : CompareCommand.findVariant(scenario, variant);
        List<Runner.Job> jobs = new ArrayList<>();
        Map<String, Double> valueByVariant = new HashMap<>();
        for (int seed = 1; seed <= options.seeds(scenario); seed++) {
            for (double value : values) {
                String name = base.name() + "-" + key + "-" + formatNumber(value);
                valueByVariant.put(name, value);
                jobs.add(new Runner.Job(scenarioWith(scenario, value), variantWith(base, name, value), seed));
            }
        }
        if (!SCENARIO_KEYS.contains(key)) {
            for (Runner.Job job : jobs) {
                EdgeSettings.load(scenario.edgeFile(), job.variant().overrides());
            }
        }
        Sweep sweep = new Sweep(scenario.name(), base.name(), key);
        Runner runner = options.runner();
        Path folder = runner.folder().resolve("sweep-" + scenario.name() + "-" + key);
        try {
            runner.runAll(jobs, (job, completed) -> {
                if (!completed.isVoid()) {
                    sweep.add(valueByVariant.get(job.variant().name()), completed.verdict());
                }
            });
        } finally {
            sweep.write(folder, Runner.version());
        }
        spec.commandLine().getOut().println(sweep.conclusion());
        spec.commandLine().getOut().println(folder.resolve("sweep.md"));
        return 0;
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
    }

    private Scenario.Variant variantWith(Scenario.Variant base, String name, double value) {
        Map<String, String> overrides = new LinkedHashMap<>(base.overrides());
        if (!SCENARIO_KEYS.contains(key)) {
            overrides.put(key, formatNumber(value));
        }
        return new Scenario.Variant(name, base.decider(), overrides, base.jar());
    }

    private Scenario scenarioWith(Scenario scenario, double value) {
        return switch (key) {
            case "load.rate" ->
                scenario.with(new Scenario.Load(
                        value,
                        scenario.load().lengthMs(),
                        scenario.load().warmUpMs(),
                        scenario.load().spacing(),
                        scenario.load().exponentialWork(),
                        scenario.load().connections()));
            case "clients.retries" ->
                scenario.with(new Retrying(
                        (int) value,
                        scenario.retrying().waitMs(),
                        scenario.retrying().growth(),
                        scenario.retrying().honorsRetryAfter()));
            case "tiers.count" -> scenario.withEndpointCount((int) value);
            case "sidecars.front" ->
                scenario.with(
                        new Scenario.Sidecars((int) value, scenario.sidecars().ownProcess()));
            default -> scenario;
        };
    }
}
