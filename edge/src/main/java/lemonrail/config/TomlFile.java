package lemonrail.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The operators' file, in TOML. A variable LEMONRAIL_TABLE_KEY of the environment goes before the file, for
 * tables that there is one of. All that is wrong is named at once.
 */
public record TomlFile(Path file, Map<String, String> environment) implements ConfigSource {

    private static final long MOST_BYTES = 4L << 20;
    private static final TomlMapper TOML = new TomlMapper();

    @Override
    public Loaded load() throws IOException {
        String text = text();
        JsonNode root;
        try {
            root = TOML.readTree(text);
        } catch (JsonProcessingException e) {
            TomlLines lines = new TomlLines(text);
            if (lines.repeated() != null) {
                throw new ConfigException(List.of(new Problem(file, lines.repeatedLine(), lines.repeated(),
                    null, "is there twice; each key must be there once")));
            }
            throw whole(e.getLocation() == null ? 0 : e.getLocation().getLineNr(),
                "it is not TOML: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
        Findings findings = new Findings(file, new TomlLines(text));
        EdgeConfig config = new TomlReading(root, environment, findings).read();
        if (!findings.problems.isEmpty()) {
            findings.problems.sort(Comparator.comparingInt(Problem::line));
            throw new ConfigException(findings.problems);
        }
        return new Loaded(config, findings.values);
    }

    private String text() throws IOException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw whole(0, "it is larger than 4MiB");
            }
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw whole(0, "there is no such file");
        } catch (CharacterCodingException e) {
            throw whole(0, "it is not UTF-8");
        }
    }

    private ConfigException whole(int line, String why) {
        return new ConfigException(List.of(new Problem(file, line, "", null, why)));
    }

    /** A value as it would be written in a file. */
    static JsonNode value(String text) {
        try {
            return TOML.readTree("v = " + text).get("v");
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What was found in a file, in its order. */
    private static final class Findings implements Section.Report {
        private final Path file;
        private final TomlLines lines;
        private final List<Problem> problems = new ArrayList<>();
        private final List<Loaded.Value> values = new ArrayList<>();

        Findings(Path file, TomlLines lines) {
            this.file = file;
            this.lines = lines;
        }

        @Override
        public void wrong(String path, String value, String allowed) {
            problems.add(new Problem(file, lines.of(path), path, value, allowed));
        }

        @Override
        public void inForce(String path, String text, Section.Origin origin, boolean live) {
            values.add(new Loaded.Value(path, text, switch (origin) {
                case DEFAULT -> "default";
                case ENVIRONMENT -> "environment";
                case FILE -> file + ":" + lines.of(path);
            }, live));
        }
    }

    /** A table that the file does not have. */
    static JsonNode none() {
        return JsonNodeFactory.instance.objectNode();
    }
}
