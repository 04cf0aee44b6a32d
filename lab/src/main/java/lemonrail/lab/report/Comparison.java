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

/** Variants side by side, on the same scenarios and seeds; the first variant is what others are held to. */
public final class Comparison {

    private static final double PART = 0.95;

    /** One run of it. */
    public record Entry(String scenario, String variant, long seed, Verdict verdict, boolean isVoid) {}

    private final List<String> variants;
    private final List<Entry> entries = new ArrayList<>();

    /** A comparison of these variants. */
    public Comparison(List<String> variants) {
        this.variants = List.copyOf(variants);
    }

    /** Takes in one run. */
    public void add(Entry entry) {
        entries.add(entry);
    }

    private List<String> scenarios() {
        return entries.stream().map(Entry::scenario).distinct().sorted().toList();
    }

    private List<Entry> of(String scenario, String variant) {
        return entries.stream()
                .filter(entry -> entry.variant().equals(variant)
                        && (scenario == null || entry.scenario().equals(scenario))
                        && !entry.isVoid())
                .toList();
    }

    /** What a variant has more of than the first one, over the pairs of runs of one scenario and seed. */
    private List<Double> differences(String scenario, String variant, ToDoubleFunction<Verdict> figure) {
        List<Double> differences = new ArrayList<>();
        for (Entry other : of(scenario, variant)) {
            of(other.scenario(), variants.get(0)).stream()
                    .filter(base -> base.seed() == other.seed())
                    .forEach(base -> differences.add(
                            figure.applyAsDouble(other.verdict()) - figure.applyAsDouble(base.verdict())));
        }
        return differences;
    }

    private static double mean(List<Entry> entries, ToDoubleFunction<Verdict> figure) {
        return entries.stream()
                .mapToDouble(entry -> figure.applyAsDouble(entry.verdict()))
                .average()
                .orElse(Double.NaN);
    }

    /** Sentences that say which variants differ. */
    public List<String> sentences() {
        List<String> sentences = new ArrayList<>();
        for (String variant : variants.subList(1, variants.size())) {
            sentences.add(sentence(null, variant));
            if (scenarios().size() > 1) {
                scenarios().forEach(scenario -> sentences.add(sentence(scenario, variant)));
            }
        }
        return sentences;
    }

    private String sentence(String scenario, String variant) {
        List<Double> differences = differences(scenario, variant, Verdict::service);
        String where = scenario == null ? "over all" : scenario;
        if (differences.isEmpty()) {
            return where + ": " + variant + " and " + variants.get(0) + " have no run in common that counts";
        }
        Bootstrap.Interval interval = Bootstrap.mean(differences, PART);
        String so = interval.excludesZero()
                ? interval.mean() > 0 ? "is better than" : "is worse than"
                : interval.count() < Bootstrap.LEAST ? "has too few pairs to tell from" : "cannot be told from";
        return String.format(
                Locale.ROOT,
                "%s: %s %s %s: service %+.3f, 95 %% within %+.3f and %+.3f " + "(%d pairs)",
                where,
                variant,
                so,
                variants.get(0),
                interval.mean(),
                interval.low(),
                interval.high(),
                interval.count());
    }

    /** Writes {@code compare.md}, {@code compare.csv} and a chart. */
    public void keep(Path folder, String version) throws IOException {
        Files.createDirectories(folder);
        StringBuilder csv = new StringBuilder("scenario,variant,seed,void,service,whole,worst_10s,"
                + "worst_class,worst_tenant,waste,late,asked,served,refused,failed,unanswered,per_ask,p50_ms,"
                + "p99_ms,broken\n");
        for (Entry entry : entries) {
            Verdict v = entry.verdict();
            csv.append(String.format(
                    Locale.ROOT,
                    "%s,%s,%d,%b,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%d,%d,%d," + "%d,%d,%.3f,%.1f,%.1f,%d%n",
                    entry.scenario(),
                    entry.variant(),
                    entry.seed(),
                    entry.isVoid(),
                    v.service(),
                    v.whole(),
                    v.worst10s(),
                    v.worstClass(),
                    v.worstTenant(),
                    v.waste(),
                    v.late(),
                    v.asked(),
                    v.served(),
                    v.refused(),
                    v.failed(),
                    v.unanswered(),
                    v.perAsk(),
                    v.p50Ms(),
                    v.p99Ms(),
                    v.broken()));
        }
        Files.writeString(folder.resolve("compare.csv"), csv);
        StringBuilder text = new StringBuilder("# Variants side by side\n\nVersion " + version + ".\n");
        Map<String, ToDoubleFunction<Verdict>> tables = new LinkedHashMap<>();
        tables.put("Service", Verdict::service);
        tables.put("Worst 10 s", Verdict::worst10s);
        tables.put("Time to a served answer, p99, ms", Verdict::p99Ms);
        tables.put("Work wasted", Verdict::waste);
        tables.put("Rules broken, runs in the mean", verdict -> verdict.broken() > 0 ? 1 : 0);
        tables.forEach((title, figure) -> table(text, title, figure));
        text.append("\n## Do they differ?\n\n");
        sentences().forEach(sentence -> text.append("- ").append(sentence).append('\n'));
        long voids = entries.stream().filter(Entry::isVoid).count();
        text.append("\n")
                .append(entries.size())
                .append(" runs, ")
                .append(voids)
                .append(" of them void and left out.\n\n![service](service.svg)\n");
        Files.writeString(folder.resolve("compare.md"), text);
        DefaultCategoryDataset bars = new DefaultCategoryDataset();
        for (String variant : variants) {
            for (String scenario : scenarios()) {
                bars.addValue(mean(of(scenario, variant), Verdict::service), variant, scenario);
            }
        }
        new Charts(folder).bars("service", "Service, mean over the seeds", "", bars, false);
    }

    private void table(StringBuilder text, String title, ToDoubleFunction<Verdict> figure) {
        text.append("\n## ")
                .append(title)
                .append("\n\n| scenario | ")
                .append(String.join(" | ", variants))
                .append(" |\n| --- |")
                .append(" --- |".repeat(variants.size()))
                .append('\n');
        for (String scenario : scenarios()) {
            row(text, scenario, scenario, figure);
        }
        row(text, "all", null, figure);
    }

    private void row(StringBuilder text, String name, String scenario, ToDoubleFunction<Verdict> figure) {
        text.append("| ").append(name).append(" |");
        for (String variant : variants) {
            double mean = mean(of(scenario, variant), figure);
            text.append(String.format(Locale.ROOT, mean >= 10 ? " %.0f |" : " %.3f |", mean));
        }
        text.append('\n');
    }
}
