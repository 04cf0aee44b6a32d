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

/** Renders the report of one run from its stored data only. */
public final class Report {

    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final double[] PERCENTILES = {0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9, 99.95, 99.99};

    private Report() {}

    /** Writes {@code report.md} and its charts into the directory of the run. */
    public static void render(RunFolder folder) throws IOException {
        JsonNode run = folder.readRunJson();
        double lengthS = run.get("length_ms").asDouble() / 1000;
        Charts charts = new Charts(folder.path());
        List<RunFolder.RequestRow> requests = folder.requestRows();
        writeLatencyChart(charts, folder, requests, lengthS);
        writePercentilesChart(charts, requests, run.get("warm_up_ms").asDouble());
        writeOutcomesChart(charts, folder, requests, lengthS);
        writeAttemptsChart(charts, folder);
        Files.writeString(folder.path().resolve("report.md"), markdown(run, folder.readVerdict()));
    }

    private static long latencyMicros(RunFolder.RequestRow request) {
        return Math.min(MAX_LATENCY_MICROS, Math.max(0, Math.round((request.servedMs() - request.arrivedMs()) * 1000)));
    }

    private static void writeLatencyChart(
            Charts charts, RunFolder folder, List<RunFolder.RequestRow> requests, double lengthS) throws IOException {
        Map<Integer, Histogram> seconds = new TreeMap<>();
        requests.stream()
                .filter(request -> !Double.isNaN(request.servedMs()))
                .forEach(request -> seconds.computeIfAbsent(
                                (int) (request.arrivedMs() / 1000), second -> new Histogram(MAX_LATENCY_MICROS, 3))
                        .recordValue(latencyMicros(request)));
        XYSeriesCollection lines = new XYSeriesCollection();
        for (double percentile : new double[] {50, 90, 99}) {
            XYSeries line = new XYSeries(String.format(Locale.ROOT, "p%.0f", percentile));
            seconds.forEach(
                    (second, histogram) -> line.add(second + 0.5, histogram.getValueAtPercentile(percentile) / 1e3));
            lines.addSeries(line);
        }
        charts.writeTimeChart(
                "latency",
                "Latency of served requests, by the time they were due",
                "ms",
                lines,
                folder.readFaults(),
                lengthS);
    }

    private static void writePercentilesChart(Charts charts, List<RunFolder.RequestRow> requests, double warmUpMs)
            throws IOException {
        Map<String, Histogram> classes = new TreeMap<>();
        requests.stream()
                .filter(request -> !Double.isNaN(request.servedMs()) && request.arrivedMs() >= warmUpMs)
                .forEach(request -> classes.computeIfAbsent(
                                request.requestClass(), name -> new Histogram(MAX_LATENCY_MICROS, 3))
                        .recordValue(latencyMicros(request)));
        XYSeriesCollection lines = new XYSeriesCollection();
        classes.forEach((name, histogram) -> {
            XYSeries line = new XYSeries(name);
            for (double percentile : PERCENTILES) {
                if (histogram.getTotalCount() * (1 - percentile / 100) >= 1) {
                    line.add(1 / (1 - percentile / 100), histogram.getValueAtPercentile(percentile) / 1e3);
                }
            }
            lines.addSeries(line);
        });
        charts.writeLineChart(
                "percentiles", "Latency that one in N served requests exceeds", "one in N", "ms", lines, true, false);
    }

    private static void writeOutcomesChart(
            Charts charts, RunFolder folder, List<RunFolder.RequestRow> requests, double lengthS) throws IOException {
        XYSeries served = new XYSeries("served");
        XYSeries refused = new XYSeries("refused");
        XYSeries failed = new XYSeries("failed");
        int length = (int) Math.ceil(lengthS);
        int[][] counts = new int[3][length];
        for (RunFolder.RequestRow request : requests) {
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
        charts.writeTimeChart(
                "outcomes",
                "Outcomes, by the time requests were due",
                "per second",
                lines,
                folder.readFaults(),
                lengthS);
    }

    private static void writeAttemptsChart(Charts charts, RunFolder folder) throws IOException {
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        for (RunFolder.AttemptRow attempt : folder.attemptRows()) {
            counts.computeIfAbsent(attempt.tier() + " " + attempt.endpoint(), id -> new TreeMap<>())
                    .merge(attempt.end(), 1, Integer::sum);
        }
        DefaultCategoryDataset bars = new DefaultCategoryDataset();
        for (String end : List.of("served", "error", "turned_away", "closed", "open")) {
            counts.forEach((endpoint, endCounts) ->
                    bars.addValue(endCounts.getOrDefault(end, 0), end, endpoint.substring(endpoint.indexOf(' ') + 1)));
        }
        charts.writeBarChart("attempts", "Attempts per endpoint", "attempts", bars, true);
    }

    private static String markdown(JsonNode run, Verdict verdict) {
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
            out.append("**The run was interrupted. The report covers the results up to then.**\n\n");
        }
        if (run.get("void").asBoolean()) {
            out.append("**Void: the lab itself was late or had no free connections (")
                    .append(run.get("lateness"))
                    .append("). The figures do not describe the sidecar.**\n\n");
        }
        out.append("| figure | value |\n| --- | --- |\n");
        appendRow(out, "service", verdict.service());
        appendRow(out, "over the entire run", verdict.whole());
        appendRow(out, "worst 10 s", verdict.worst10s());
        appendRow(out, "worst class", verdict.worstClass());
        appendRow(out, "worst tenant", verdict.worstTenant());
        appendRow(out, "wasted work, as a fraction of the requested work", verdict.waste());
        appendRow(out, "served after the latency objective, weighted fraction", verdict.late());
        out.append("| requests / served / refused / failed / unanswered | ")
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
        appendRow(out, "attempts in the first tier per request", verdict.perAsk());
        out.append(String.format(
                Locale.ROOT,
                "| latency p50 / p99 / p99.9 | %.1f / %.1f / %.1f ms |%n",
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

    private static void appendRow(StringBuilder out, String label, double value) {
        out.append(String.format(Locale.ROOT, "| %s | %.3f |%n", label, value));
    }
}
