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

/** {@code history}: what each scenario and variant came to, commit by commit. */
@Command(name = "history", description = "List the figures of all kept runs, commit by commit.")
public final class HistoryCommand implements Callable<Integer> {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "lab-runs",
            description = "where the folders of the runs are (default: ${DEFAULT-VALUE})")
    private Path out;

    @Spec
    private CommandSpec spec;

    /** All runs of one scenario and variant at one commit. */
    private static final class Group {
        private FileTime first;
        private final List<JsonNode> runs = new ArrayList<>();
        private int voids;

        double mean(String figure) {
            return runs.stream()
                    .mapToDouble(run -> run.get("verdict").get(figure).asDouble())
                    .average()
                    .orElse(Double.NaN);
        }
    }

    @Override
    public Integer call() throws IOException {
        if (!Files.isDirectory(out)) {
            throw new IllegalArgumentException("--out " + out + ": there is no such folder");
        }
        Map<String, Map<String, Group>> all = new TreeMap<>();
        try (Stream<Path> files = Files.walk(out)) {
            for (Path file : files.filter(each -> each.endsWith("run.json")).toList()) {
                JsonNode run = JSON.readTree(file.toFile());
                Group group = all.computeIfAbsent(
                                run.get("scenario").asText() + " "
                                        + run.get("variant").asText(),
                                key -> new TreeMap<>())
                        .computeIfAbsent(run.get("version").asText(), key -> new Group());
                FileTime written = Files.getLastModifiedTime(file);
                group.first = group.first == null || written.compareTo(group.first) < 0 ? written : group.first;
                if (run.get("void").asBoolean() || !run.get("whole").asBoolean()) {
                    group.voids++;
                } else {
                    group.runs.add(run);
                }
            }
        }
        PrintWriter words = spec.commandLine().getOut();
        all.forEach((name, versions) -> {
            words.println(name);
            versions.entrySet().stream()
                    .sorted(Comparator.comparing(entry -> entry.getValue().first))
                    .forEach(entry -> words.println(line(entry.getKey(), entry.getValue())));
        });
        return 0;
    }

    private static String line(String version, Group group) {
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
                group.voids > 0 ? " (and " + group.voids + " void or interrupted)" : "");
    }
}
