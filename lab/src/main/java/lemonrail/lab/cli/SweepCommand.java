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

/** {@code sweep}: one setting over several values, and where service bends. */
@Command(name = "sweep", description = "Play a scenario with one setting at several values; find the knee.")
public final class SweepCommand implements Callable<Integer> {

    private static final List<String> OWN = List.of("load.rate", "clients.retries", "tiers.count", "sidecars.front");

    @Parameters(paramLabel = "SCENARIO", description = "a scenario's file")
    private Path file;

    @Option(
            names = "--set",
            required = true,
            paramLabel = "KEY",
            description = "load.rate, clients.retries, "
                    + "tiers.count (of the first tier) or sidecars.front of the scenario, or a key of the edge, as in "
                    + "limits.attempts")
    private String key;

    @Option(names = "--values", required = true, split = ",", paramLabel = "N", description = "its values")
    private List<Double> values;

    @Option(names = "--variant", paramLabel = "NAME", description = "the scenario's first if not given")
    private String variant;

    @Mixin
    private RunOptions options;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = ScenarioFile.read(file);
        Scenario.Variant base =
                variant == null ? scenario.variants().get(0) : CompareCommand.variant(scenario, variant);
        List<Runner.Job> jobs = new ArrayList<>();
        Map<String, Double> valueOf = new HashMap<>();
        for (int seed = 1; seed <= options.seeds(scenario); seed++) {
            for (double value : values) {
                String name = base.name() + "-" + key + "-" + plain(value);
                valueOf.put(name, value);
                jobs.add(new Runner.Job(with(scenario, value), named(base, name, value), seed));
            }
        }
        if (!OWN.contains(key)) {
            for (Runner.Job job : jobs) {
                EdgeSettings.load(scenario.edge(), job.variant().set());
            }
        }
        Sweep sweep = new Sweep(scenario.name(), base.name(), key);
        Runner runner = options.runner();
        Path folder = runner.folder().resolve("sweep-" + scenario.name() + "-" + key);
        try {
            runner.all(jobs, (job, kept) -> {
                if (!kept.isVoid()) {
                    sweep.add(valueOf.get(job.variant().name()), kept.verdict());
                }
            });
        } finally {
            sweep.keep(folder, Runner.version());
        }
        spec.commandLine().getOut().println(sweep.sentence());
        spec.commandLine().getOut().println(folder.resolve("sweep.md"));
        return 0;
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
    }

    private Scenario.Variant named(Scenario.Variant base, String name, double value) {
        Map<String, String> set = new LinkedHashMap<>(base.set());
        if (!OWN.contains(key)) {
            set.put(key, plain(value));
        }
        return new Scenario.Variant(name, base.decider(), set, base.jar());
    }

    private Scenario with(Scenario of, double value) {
        return switch (key) {
            case "load.rate" ->
                of.with(new Scenario.Load(
                        value,
                        of.load().lengthMs(),
                        of.load().warmUpMs(),
                        of.load().spacing(),
                        of.load().exponentialWork(),
                        of.load().connections()));
            case "clients.retries" ->
                of.with(new Retrying(
                        (int) value,
                        of.retrying().waitMs(),
                        of.retrying().growth(),
                        of.retrying().honorsRetryAfter()));
            case "tiers.count" -> of.withCount((int) value);
            case "sidecars.front" ->
                of.with(new Scenario.Sidecars((int) value, of.sidecars().ownProcess()));
            default -> of;
        };
    }
}
