package lemonrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code history}: lists the mean results of each scenario and variant by version. */
@Command(name = "history", description = "List the mean results of all stored runs, by scenario, variant and version.")
public final class HistoryCommand implements Callable<Integer> {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "lab-runs",
            description = "directory that contains the runs (default: ${DEFAULT-VALUE})")
    private Path out;

    @Spec
    private CommandSpec spec;

    /** The runs of one scenario and variant at one version. */
    private static final class Group {
        private FileTime firstWritten;
        private final List<JsonNode> runs = new ArrayList<>();
        private int excludedCount;

        double mean(String field) {
            return runs.stream()
                    .mapToDouble(run -> run.get("verdict").get(field).asDouble())
                    .average()
                    .orElse(Double.NaN);
        }
    }

    @Override
    public Integer call() throws IOException {
        if (!Files.isDirectory(out)) {
            throw new IllegalArgumentException("--out " + out + ": directory does not exist");
        }
        Map<String, Map<String, Group>> groups = new TreeMap<>();
        try (Stream<Path> files = Files.walk(out)) {
            for (Path file : files.filter(path -> path.endsWith("run.json")).toList()) {
                JsonNode run = JSON.readTree(file.toFile());
                Group group = groups.computeIfAbsent(
                                run.get("scenario").asText() + " "
                                        + run.get("variant").asText(),
                                key -> new TreeMap<>())
                        .computeIfAbsent(run.get("version").asText(), key -> new Group());
                FileTime written = Files.getLastModifiedTime(file);
                group.firstWritten = group.firstWritten == null || written.compareTo(group.firstWritten) < 0
                        ? written
                        : group.firstWritten;
                if (run.get("void").asBoolean() || !run.get("whole").asBoolean()) {
                    group.excludedCount++;
                } else {
                    group.runs.add(run);
                }
            }
        }
        PrintWriter output = spec.commandLine().getOut();
        groups.forEach((name, versions) -> {
            output.println(name);
            versions.entrySet().stream()
                    .sorted(Comparator.comparing(entry -> entry.getValue().firstWritten))
                    .forEach(entry -> output.println(formatGroup(entry.getKey(), entry.getValue())));
        });
        return 0;
    }

    private static String formatGroup(String version, Group group) {
        return String.format(
                Locale.ROOT,
                "  %-24s service %.3f  worst 10 s %.3f  waste %.3f  p99 %.0f ms  " + "rules broken %.2f  runs %d%s",
                version,
                group.mean("service"),
                group.mean("worst10s"),
                group.mean("waste"),
                group.mean("p99Ms"),
                group.mean("broken"),
                group.runs.size(),
                group.excludedCount > 0 ? " (and " + group.excludedCount + " void or interrupted)" : "");
    }
}
