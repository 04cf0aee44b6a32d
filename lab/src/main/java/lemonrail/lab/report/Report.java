package lemonrail.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** The report of one run, made from its raw data alone. */
public final class Report {

    private static final long MOST_MICROS = 3_600_000_000L;
    private static final double[] PERCENTILES = {0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9, 99.95, 99.99};

    private Report() {}

    /** Writes {@code report.md} and the charts beside it. */
    public static void render(RunFolder folder) throws IOException {
        JsonNode run = folder.run();
        double untilS = run.get("length_ms").asDouble() / 1000;
        Charts charts = new Charts(folder.path());
        List<RunFolder.AskRow> requests = folder.askRows();
        latency(charts, folder, requests, untilS);
        percentiles(charts, requests, run.get("warm_up_ms").asDouble());
        outcomes(charts, folder, requests, untilS);
        attempts(charts, folder);
        Files.writeString(folder.path().resolve("report.md"), text(run, folder.verdict()));
    }

    private static long micros(RunFolder.AskRow request) {
        return Math.min(MOST_MICROS, Math.max(0, Math.round((request.servedMs() - request.arrivedMs()) * 1000)));
    }

    private static void latency(Charts charts, RunFolder folder, List<RunFolder.AskRow> requests, double untilS)
            throws IOException {
        Map<Integer, Histogram> seconds = new TreeMap<>();
        requests.stream()
                .filter(request -> !Double.isNaN(request.servedMs()))
                .forEach(request -> seconds.computeIfAbsent(
                                (int) (request.arrivedMs() / 1000), second -> new Histogram(MOST_MICROS, 3))
                        .recordValue(micros(request)));
        XYSeriesCollection lines = new XYSeriesCollection();
        for (double percentile : new double[] {50, 90, 99}) {
            XYSeries line = new XYSeries(String.format(Locale.ROOT, "p%.0f", percentile));
            seconds.forEach((second, of) -> line.add(second + 0.5, of.getValueAtPercentile(percentile) / 1e3));
            lines.addSeries(line);
        }
        charts.overTime("latency", "Time to a served answer, by when it was due", "ms", lines, folder.faults(), untilS);
    }

    private static void percentiles(Charts charts, List<RunFolder.AskRow> requests, double warmMs) throws IOException {
        Map<String, Histogram> classes = new TreeMap<>();
        requests.stream()
                .filter(request -> !Double.isNaN(request.servedMs()) && request.arrivedMs() >= warmMs)
                .forEach(request -> classes.computeIfAbsent(
                                request.requestClass(), name -> new Histogram(MOST_MICROS, 3))
                        .recordValue(micros(request)));
        XYSeriesCollection lines = new XYSeriesCollection();
        classes.forEach((name, of) -> {
            XYSeries line = new XYSeries(name);
            for (double percentile : PERCENTILES) {
                if (of.getTotalCount() * (1 - percentile / 100) >= 1) {
                    line.add(1 / (1 - percentile / 100), of.getValueAtPercentile(percentile) / 1e3);
                }
            }
            lines.addSeries(line);
        });
        charts.lines("percentiles", "Slowest of so many answers", "one in", "ms", lines, true, false);
    }

    private static void outcomes(Charts charts, RunFolder folder, List<RunFolder.AskRow> requests, double untilS)
            throws IOException {
        XYSeries served = new XYSeries("served");
        XYSeries refused = new XYSeries("refused");
        XYSeries failed = new XYSeries("failed");
        int length = (int) Math.ceil(untilS);
        int[][] counts = new int[3][length];
        for (RunFolder.AskRow request : requests) {
            int second = Math.min(length - 1, (int) (request.arrivedMs() / 1000));
            counts[request.end().equals("served") ? 0 : request.end().equals("refused") ? 1 : 2][second]++;
        }
        for (int second = 0; second < length; second++) {
            served.add(second + 0.5, counts[0][second]);
            refused.add(second + 0.5, counts[1][second]);
            failed.add(second + 0.5, counts[2][second]);
        }
        XYSeriesCollection lines = new XYSeriesCollection();
        lines.addSeries(served);
        lines.addSeries(failed);
        lines.addSeries(refused);
        charts.overTime("outcomes", "What came of it, by when it was due", "a second", lines, folder.faults(), untilS);
    }

    private static void attempts(Charts charts, RunFolder folder) throws IOException {
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        for (RunFolder.AttemptRow attempt : folder.attemptRows()) {
            counts.computeIfAbsent(attempt.tier() + " " + attempt.endpoint(), id -> new TreeMap<>())
                    .merge(attempt.end(), 1, Integer::sum);
        }
        DefaultCategoryDataset bars = new DefaultCategoryDataset();
        for (String end : List.of("served", "error", "turned_away", "closed", "open")) {
            counts.forEach((endpoint, of) ->
                    bars.addValue(of.getOrDefault(end, 0), end, endpoint.substring(endpoint.indexOf(' ') + 1)));
        }
        charts.bars("attempts", "Attempts at each endpoint", "attempts", bars, true);
    }

    private static String text(JsonNode run, Verdict verdict) {
        StringBuilder out = new StringBuilder();
        out.append("# ")
                .append(run.get("scenario").asText())
                .append(", ")
                .append(run.get("variant").asText())
                .append(", seed ")
                .append(run.get("seed").asText())
                .append("\n\n")
                .append(run.get("about").asText())
                .append("\n\n");
        if (!run.get("whole").asBoolean()) {
            out.append("**The run was interrupted: these are the results so far.**\n\n");
        }
        if (run.get("void").asBoolean()) {
            out.append("**Void: the lab itself was late or out of connections (")
                    .append(run.get("lateness"))
                    .append("). The figures are not the sidecar's.**\n\n");
        }
        out.append("| figure | value |\n| --- | --- |\n");
        row(out, "service", verdict.service());
        row(out, "of it: whole run", verdict.whole());
        row(out, "worst 10 s", verdict.worst10s());
        row(out, "worst class", verdict.worstClass());
        row(out, "worst tenant", verdict.worstTenant());
        row(out, "work wasted, of the work asked for", verdict.waste());
        row(out, "served only after the wanted time", verdict.late());
        out.append("| asked / served / refused / failed / unanswered | ")
                .append(verdict.asked())
                .append(" / ")
                .append(verdict.served())
                .append(" / ")
                .append(verdict.refused())
                .append(" / ")
                .append(verdict.failed())
                .append(" / ")
                .append(verdict.unanswered())
                .append(" |\n");
        row(out, "attempts in the first tier for each", verdict.perAsk());
        out.append(String.format(
                Locale.ROOT,
                "| p50 / p99 / p99.9 | %.1f / %.1f / %.1f ms |%n",
                verdict.p50Ms(),
                verdict.p99Ms(),
                verdict.p999Ms()));
        out.append("| rules broken | ").append(verdict.broken()).append(" |\n");
        out.append("| version | ")
                .append(run.get("version").asText())
                .append(" |\n| machine | ")
                .append(run.get("machine").asText())
                .append(" |\n\n");
        verdict.rules().forEach(rule -> out.append("- ").append(rule).append('\n'));
        for (String chart : List.of("latency", "percentiles", "outcomes", "attempts")) {
            out.append("\n![").append(chart).append("](").append(chart).append(".svg)\n");
        }
        return out.toString();
    }

    private static void row(StringBuilder out, String what, double value) {
        out.append(String.format(Locale.ROOT, "| %s | %.3f |%n", what, value));
    }
}
