package lemonrail.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.jfree.data.category.DefaultCategoryDataset;

/** Compares variants on the same scenarios and seeds. The first variant is the baseline for the others. */
public final class Comparison {

    private static final double CONFIDENCE = 0.95;

    /** One run of a variant; void runs are listed, but excluded from all figures. */
    public record Entry(String scenario, String variant, long seed, Verdict verdict, boolean isVoid) {}

    private final List<String> variants;
    private final List<Entry> entries = new ArrayList<>();

    /** Creates a comparison of these variants without runs. */
    public Comparison(List<String> variants) {
        this.variants = List.copyOf(variants);
    }

    /** Adds a run. */
    public void add(Entry entry) {
        entries.add(entry);
    }

    private List<String> scenarios() {
        return entries.stream().map(Entry::scenario).distinct().sorted().toList();
    }

    private List<Entry> validRuns(String scenario, String variant) {
        return entries.stream()
                .filter(entry -> entry.variant().equals(variant)
                        && (scenario == null || entry.scenario().equals(scenario))
                        && !entry.isVoid())
                .toList();
    }

    /**
     * Returns, for each pair of runs with the same scenario and seed, the variant's figure minus the baseline's figure.
     */
    private List<Double> differences(String scenario, String variant, ToDoubleFunction<Verdict> figure) {
        List<Double> differences = new ArrayList<>();
        for (Entry run : validRuns(scenario, variant)) {
            validRuns(run.scenario(), variants.get(0)).stream()
                    .filter(baseline -> baseline.seed() == run.seed())
                    .forEach(baseline -> differences.add(
                            figure.applyAsDouble(run.verdict()) - figure.applyAsDouble(baseline.verdict())));
        }
        return differences;
    }

    private static double mean(List<Entry> entries, ToDoubleFunction<Verdict> figure) {
        return entries.stream()
                .mapToDouble(entry -> figure.applyAsDouble(entry.verdict()))
                .average()
                .orElse(Double.NaN);
    }

    /** Returns one sentence per comparison that states whether a variant differs from the baseline. */
    public List<String> conclusions() {
        List<String> conclusions = new ArrayList<>();
        for (String variant : variants.subList(1, variants.size())) {
            conclusions.add(conclusion(null, variant));
            if (scenarios().size() > 1) {
                scenarios().forEach(scenario -> conclusions.add(conclusion(scenario, variant)));
            }
        }
        return conclusions;
    }

    private String conclusion(String scenario, String variant) {
        List<Double> differences = differences(scenario, variant, Verdict::service);
        String scope = scenario == null ? "all scenarios" : scenario;
        if (differences.isEmpty()) {
            return scope + ": " + variant + " and " + variants.get(0)
                    + " have no valid runs with the same scenario and seed";
        }
        Bootstrap.Interval interval = Bootstrap.meanInterval(differences, CONFIDENCE);
        String relation = interval.excludesZero()
                ? interval.mean() > 0 ? "is better than" : "is worse than"
                : interval.count() < Bootstrap.MIN_COUNT
                        ? "has too few pairs to be compared with"
                        : "does not differ significantly from";
        return String.format(
                Locale.ROOT,
                "%s: %s %s %s: service %+.3f, 95 %% confidence interval %+.3f to %+.3f " + "(%d pairs)",
                scope,
                variant,
                relation,
                variants.get(0),
                interval.mean(),
                interval.low(),
                interval.high(),
                interval.count());
    }

    /** Writes {@code compare.md}, {@code compare.csv} and a chart into a directory, which is created if necessary. */
    public void write(Path folder, String version) throws IOException {
        Files.createDirectories(folder);
        StringBuilder csv = new StringBuilder("scenario,variant,seed,void,service,whole,worst_10s,"
                + "worst_class,worst_tenant,waste,late,asked,served,refused,failed,unanswered,per_ask,p50_ms,"
                + "p99_ms,broken\n");
        for (Entry entry : entries) {
            Verdict verdict = entry.verdict();
            csv.append(String.format(
                    Locale.ROOT,
                    "%s,%s,%d,%b,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%d,%d,%d," + "%d,%d,%.3f,%.1f,%.1f,%d%n",
                    entry.scenario(),
                    entry.variant(),
                    entry.seed(),
                    entry.isVoid(),
                    verdict.service(),
                    verdict.whole(),
                    verdict.worst10s(),
                    verdict.worstClass(),
                    verdict.worstTenant(),
                    verdict.waste(),
                    verdict.late(),
                    verdict.asked(),
                    verdict.served(),
                    verdict.refused(),
                    verdict.failed(),
                    verdict.unanswered(),
                    verdict.perAsk(),
                    verdict.p50Ms(),
                    verdict.p99Ms(),
                    verdict.broken()));
        }
        Files.writeString(folder.resolve("compare.csv"), csv);
        StringBuilder markdown = new StringBuilder("# Comparison of variants\n\nVersion " + version + ".\n");
        Map<String, ToDoubleFunction<Verdict>> tables = new LinkedHashMap<>();
        tables.put("Service", Verdict::service);
        tables.put("Worst 10 s", Verdict::worst10s);
        tables.put("Latency of served requests, p99, ms", Verdict::p99Ms);
        tables.put("Wasted work", Verdict::waste);
        tables.put("Fraction of runs that broke a rule", verdict -> verdict.broken() > 0 ? 1 : 0);
        tables.forEach((title, figure) -> appendTable(markdown, title, figure));
        markdown.append("\n## Significance of the differences\n\n");
        conclusions()
                .forEach(conclusion -> markdown.append("- ").append(conclusion).append('\n'));
        long voidCount = entries.stream().filter(Entry::isVoid).count();
        markdown.append("\n")
                .append(entries.size())
                .append(" runs, ")
                .append(voidCount)
                .append(" of them void and excluded.\n\n![service](service.svg)\n");
        Files.writeString(folder.resolve("compare.md"), markdown);
        DefaultCategoryDataset bars = new DefaultCategoryDataset();
        for (String variant : variants) {
            for (String scenario : scenarios()) {
                bars.addValue(mean(validRuns(scenario, variant), Verdict::service), variant, scenario);
            }
        }
        new Charts(folder).writeBarChart("service", "Service, mean over seeds", "", bars, false);
    }

    private void appendTable(StringBuilder markdown, String title, ToDoubleFunction<Verdict> figure) {
        markdown.append("\n## ")
                .append(title)
                .append("\n\n| scenario | ")
                .append(String.join(" | ", variants))
                .append(" |\n| --- |")
                .append(" --- |".repeat(variants.size()))
                .append('\n');
        for (String scenario : scenarios()) {
            appendRow(markdown, scenario, scenario, figure);
        }
        appendRow(markdown, "all", null, figure);
    }

    private void appendRow(StringBuilder markdown, String name, String scenario, ToDoubleFunction<Verdict> figure) {
        markdown.append("| ").append(name).append(" |");
        for (String variant : variants) {
            double mean = mean(validRuns(scenario, variant), figure);
            markdown.append(String.format(Locale.ROOT, mean >= 10 ? " %.0f |" : " %.3f |", mean));
        }
        markdown.append('\n');
    }
}
