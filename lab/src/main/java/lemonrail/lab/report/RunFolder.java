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
 * The directory in which the results of one run are stored: {@code run.json} with the run's parameters and verdict, the
 * raw data as CSV, and copies of the scenario and edge configuration files. {@code docs/operate/lab.md} documents each
 * column.
 */
public final class RunFolder {

    /** One request of {@code asks.csv}; times in ms of the run, {@code servedMs} is NaN if it was not served. */
    record RequestRow(double arrivedMs, String requestClass, int tries, String end, double servedMs) {}

    /** One attempt at an endpoint from {@code attempts.csv}; the tier counts from 1. */
    record AttemptRow(int tier, String endpoint, double beganMs, String end) {}

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final CSVFormat CSV_WITH_HEADER =
            CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).build();

    private final Path folder;

    /** Refers to the directory of a run, which {@link #write} creates if necessary. */
    public RunFolder(Path folder) {
        this.folder = folder;
    }

    /** Returns the path of the directory. */
    public Path path() {
        return folder;
    }

    /** Writes {@code run.json}, the raw data and the input files of a run; files of an earlier run are replaced. */
    public void write(RunResult result, Verdict verdict, String version) throws IOException {
        Files.createDirectories(folder);
        Files.copy(result.scenario().file(), folder.resolve("scenario.toml"), StandardCopyOption.REPLACE_EXISTING);
        Files.copy(result.scenario().edgeFile(), folder.resolve("edge.toml"), StandardCopyOption.REPLACE_EXISTING);
        ObjectNode run = JSON.createObjectNode()
                .put("scenario", result.scenario().name())
                .put("about", result.scenario().about())
                .put("variant", result.variant().name())
                .put("seed", result.seed())
                .put("version", version)
                .put("whole", result.complete())
                .put("void", result.lateness().isVoid())
                .put("cpu_ms", rintOrNull(result.cpuMs()))
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
        writeRequests(result);
        writeAttempts(result);
        writeEndpoints(result);
    }

    private static Double rintOrNull(double value) {
        return Double.isNaN(value) ? null : Math.rint(value);
    }

    private static String formatMs(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.3f", value);
    }

    private CSVPrinter csvPrinter(String name, String... header) throws IOException {
        return new CSVPrinter(
                Files.newBufferedWriter(folder.resolve(name)),
                CSVFormat.DEFAULT
                        .builder()
                        .setHeader(header)
                        .setRecordSeparator('\n')
                        .build());
    }

    private void writeRequests(RunResult result) throws IOException {
        try (CSVPrinter requestRows = csvPrinter(
                        "asks.csv", "ask", "arrived_ms", "class", "tenant", "work_ms", "tries", "end", "served_ms");
                CSVPrinter attemptRows =
                        csvPrinter("tries.csv", "ask", "request", "sidecar", "sent_ms", "ended_ms", "end", "status")) {
            for (ClientRequest request : result.requests()) {
                requestRows.printRecord(
                        request.number(),
                        formatMs(request.arrivedMs()),
                        result.scenario().requests().get(request.requestClass()).className(),
                        result.scenario().tenants().isEmpty()
                                ? ""
                                : result.scenario()
                                        .tenants()
                                        .get(request.tenant())
                                        .name(),
                        formatMs(request.workMs()),
                        request.tries().size(),
                        request.tries().isEmpty()
                                ? "open"
                                : lowerCaseName(request.last().end()),
                        formatMs(request.servedMs()));
                for (ClientRequest.Try clientTry : request.tries()) {
                    attemptRows.printRecord(
                            request.number(),
                            clientTry.id(),
                            result.recorder().sidecar(clientTry.id()),
                            formatMs(clientTry.sentMs()),
                            formatMs(clientTry.endedMs()),
                            lowerCaseName(clientTry.end()),
                            clientTry.status());
                }
            }
        }
    }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private void writeAttempts(RunResult result) throws IOException {
        try (CSVPrinter rows = csvPrinter(
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
                rows.printRecord(
                        attempt.request(),
                        result.recorder().sidecar(attempt.request()),
                        attempt.tier() + 1,
                        attempt.endpoint(),
                        formatMs(attempt.receivedMs()),
                        formatMs(attempt.startedMs()),
                        formatMs(attempt.endedMs()),
                        attempt.outcome(),
                        formatMs(attempt.workMs()),
                        attempt.parent() == null ? "" : attempt.parent().request());
            }
        }
    }

    private void writeEndpoints(RunResult result) throws IOException {
        try (CSVPrinter rows = csvPrinter("endpoints.csv", "tier", "endpoint", "speed", "done_ms", "most_held")) {
            for (RunResult.Node node : result.nodes()) {
                rows.printRecord(
                        node.tier() + 1, node.id(), formatMs(node.speed()), formatMs(node.doneMs()), node.maxHeld());
            }
        }
    }

    // ---- Reading ----

    /** Reads {@code run.json}. */
    JsonNode readRunJson() throws IOException {
        return JSON.readTree(folder.resolve("run.json").toFile());
    }

    /** Reads the faults of the run from {@code run.json}. */
    List<Fault> readFaults() throws IOException {
        return List.of(JSON.treeToValue(readRunJson().get("faults"), Fault[].class));
    }

    /** Reads the verdict from {@code run.json}. */
    Verdict readVerdict() throws IOException {
        return JSON.treeToValue(readRunJson().get("verdict"), Verdict.class);
    }

    private static double parseOrNan(String text) {
        return text.isEmpty() ? Double.NaN : Double.parseDouble(text);
    }

    private interface RowMapper<T> {
        T map(CSVRecord record);
    }

    private <T> List<T> readRows(String name, RowMapper<T> mapper) throws IOException {
        List<T> rows = new ArrayList<>();
        try (Reader in = Files.newBufferedReader(folder.resolve(name));
                var records = CSV_WITH_HEADER.parse(in)) {
            for (CSVRecord record : records) {
                rows.add(mapper.map(record));
            }
        }
        return rows;
    }

    /** Reads all requests. */
    List<RequestRow> requestRows() throws IOException {
        return readRows(
                "asks.csv",
                record -> new RequestRow(
                        parseOrNan(record.get("arrived_ms")),
                        record.get("class"),
                        Integer.parseInt(record.get("tries")),
                        record.get("end"),
                        parseOrNan(record.get("served_ms"))));
    }

    /** Reads all attempts. */
    List<AttemptRow> attemptRows() throws IOException {
        return readRows(
                "attempts.csv",
                record -> new AttemptRow(
                        Integer.parseInt(record.get("tier")),
                        record.get("endpoint"),
                        parseOrNan(record.get("began_ms")),
                        record.get("end")));
    }
}
