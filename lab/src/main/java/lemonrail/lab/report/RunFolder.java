package lemonrail.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import lemonrail.lab.host.AttemptRecorder;
import lemonrail.lab.host.RunResult;
import lemonrail.lab.model.ClientRequest;
import lemonrail.lab.model.Fault;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;

/**
 * The folder of one run: {@code run.json} with what was played and the verdict, the raw data in CSV, and the
 * files that were played. {@code docs/operate/lab.md} documents each column.
 */
public final class RunFolder {

    /** One thing asked for, as the raw data has it; times in ms, NaN where it was not served. */
    record AskRow(double arrivedMs, String requestClass, int tries, String end, double servedMs) {}

    /** One attempt at an endpoint, as the raw data has it. */
    record AttemptRow(int tier, String endpoint, double beganMs, String end) {}

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final CSVFormat READ =
            CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).build();

    private final Path folder;

    /** A folder that is there or will be. */
    public RunFolder(Path folder) {
        this.folder = folder;
    }

    /** Where it is. */
    public Path path() {
        return folder;
    }

    /** Keeps a run. */
    public void keep(RunResult result, Verdict verdict, String version) throws IOException {
        Files.createDirectories(folder);
        Files.copy(result.scenario().file(), folder.resolve("scenario.toml"), StandardCopyOption.REPLACE_EXISTING);
        Files.copy(result.scenario().edge(), folder.resolve("edge.toml"), StandardCopyOption.REPLACE_EXISTING);
        ObjectNode run = JSON.createObjectNode()
                .put("scenario", result.scenario().name())
                .put("about", result.scenario().about())
                .put("variant", result.variant().name())
                .put("seed", result.seed())
                .put("version", version)
                .put("whole", result.complete())
                .put("void", result.lateness().isVoid())
                .put("cpu_ms", rounded(result.cpuMs()))
                .put("client_connections", result.maxOpenConnections())
                .put(
                        "machine",
                        System.getProperty("os.arch") + ", "
                                + Runtime.getRuntime().availableProcessors() + " cores, Java "
                                + System.getProperty("java.version"))
                .put("length_ms", result.scenario().load().lengthMs())
                .put("warm_up_ms", result.scenario().load().warmUpMs());
        run.set("lateness", JSON.valueToTree(result.lateness()));
        run.set("verdict", JSON.valueToTree(verdict));
        run.set("faults", JSON.valueToTree(result.scenario().faults()));
        JSON.writeValue(folder.resolve("run.json").toFile(), run);
        requests(result);
        attempts(result);
        nodes(result);
    }

    private static Double rounded(double value) {
        return Double.isNaN(value) ? null : Math.rint(value);
    }

    private static String ms(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.3f", value);
    }

    private CSVPrinter table(String name, String... header) throws IOException {
        return new CSVPrinter(
                Files.newBufferedWriter(folder.resolve(name)),
                CSVFormat.DEFAULT
                        .builder()
                        .setHeader(header)
                        .setRecordSeparator('\n')
                        .build());
    }

    private void requests(RunResult result) throws IOException {
        try (CSVPrinter requests = table(
                        "asks.csv", "ask", "arrived_ms", "class", "tenant", "work_ms", "tries", "end", "served_ms");
                CSVPrinter tries =
                        table("tries.csv", "ask", "request", "sidecar", "sent_ms", "ended_ms", "end", "status")) {
            for (ClientRequest request : result.requests()) {
                requests.printRecord(
                        request.number(),
                        ms(request.arrivedMs()),
                        result.scenario().requests().get(request.requestClass()).className(),
                        result.scenario().tenants().isEmpty()
                                ? ""
                                : result.scenario()
                                        .tenants()
                                        .get(request.tenant())
                                        .name(),
                        ms(request.workMs()),
                        request.tries().size(),
                        request.tries().isEmpty() ? "open" : word(request.last().end()),
                        ms(request.servedMs()));
                for (ClientRequest.Try each : request.tries()) {
                    tries.printRecord(
                            request.number(),
                            each.id(),
                            result.recorder().sidecar(each.id()),
                            ms(each.sentMs()),
                            ms(each.endedMs()),
                            word(each.end()),
                            each.status());
                }
            }
        }
    }

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private void attempts(RunResult result) throws IOException {
        try (CSVPrinter out = table(
                "attempts.csv",
                "request",
                "sidecar",
                "tier",
                "endpoint",
                "began_ms",
                "ran_ms",
                "ended_ms",
                "end",
                "work_ms",
                "for")) {
            for (AttemptRecorder.Attempt attempt : result.recorder().attempts()) {
                out.printRecord(
                        attempt.request(),
                        result.recorder().sidecar(attempt.request()),
                        attempt.tier() + 1,
                        attempt.endpoint(),
                        ms(attempt.receivedMs()),
                        ms(attempt.startedMs()),
                        ms(attempt.endedMs()),
                        attempt.outcome(),
                        ms(attempt.workMs()),
                        attempt.parent() == null ? "" : attempt.parent().request());
            }
        }
    }

    private void nodes(RunResult result) throws IOException {
        try (CSVPrinter out = table("endpoints.csv", "tier", "endpoint", "speed", "done_ms", "most_held")) {
            for (RunResult.Node node : result.nodes()) {
                out.printRecord(node.tier() + 1, node.id(), ms(node.speed()), ms(node.doneMs()), node.maxHeld());
            }
        }
    }

    // ---- reading back ----

    /** What was played and the verdict. */
    JsonNode run() throws IOException {
        return JSON.readTree(folder.resolve("run.json").toFile());
    }

    /** The faults that were played. */
    List<Fault> faults() throws IOException {
        return List.of(JSON.treeToValue(run().get("faults"), Fault[].class));
    }

    /** The verdict. */
    Verdict verdict() throws IOException {
        return JSON.treeToValue(run().get("verdict"), Verdict.class);
    }

    private static double number(String text) {
        return text.isEmpty() ? Double.NaN : Double.parseDouble(text);
    }

    private interface Row<T> {
        T of(CSVRecord record);
    }

    private <T> List<T> read(String name, Row<T> row) throws IOException {
        List<T> rows = new ArrayList<>();
        try (Reader in = Files.newBufferedReader(folder.resolve(name));
                var records = READ.parse(in)) {
            for (CSVRecord record : records) {
                rows.add(row.of(record));
            }
        }
        return rows;
    }

    /** All that was asked for. */
    List<AskRow> askRows() throws IOException {
        return read(
                "asks.csv",
                record -> new AskRow(
                        number(record.get("arrived_ms")),
                        record.get("class"),
                        Integer.parseInt(record.get("tries")),
                        record.get("end"),
                        number(record.get("served_ms"))));
    }

    /** All attempts. */
    List<AttemptRow> attemptRows() throws IOException {
        return read(
                "attempts.csv",
                record -> new AttemptRow(
                        Integer.parseInt(record.get("tier")),
                        record.get("endpoint"),
                        number(record.get("began_ms")),
                        record.get("end")));
    }
}
