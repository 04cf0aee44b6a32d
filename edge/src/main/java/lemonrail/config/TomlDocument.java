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
 * A file in TOML, read by tables of the keys that it may have. A variable LEMONRAIL_TABLE_KEY of the
 * environment goes before the file, for tables that there is one of. All that is wrong is named at once.
 */
public final class TomlDocument {

    private static final long MOST_BYTES = 4L << 20;
    private static final TomlMapper TOML = new TomlMapper();

    private final JsonNode root;
    private final Map<String, String> environment;
    private final Findings findings;

    private TomlDocument(JsonNode root, Map<String, String> environment, Findings findings) {
        this.root = root;
        this.environment = environment;
        this.findings = findings;
    }

    /** Reads a file as a whole; one that is not TOML is a {@link ConfigException}. */
    public static TomlDocument read(Path file, Map<String, String> environment) throws IOException {
        return read(file, text(file), environment);
    }

    private static TomlDocument read(Path file, String text, Map<String, String> environment) {
        try {
            return new TomlDocument(TOML.readTree(text), environment, new Findings(file, new TomlLines(text)));
        } catch (JsonProcessingException e) {
            TomlLines lines = new TomlLines(text);
            if (lines.repeated() != null) {
                throw new ConfigException(List.of(new ConfigProblem(
                        file,
                        lines.repeatedLine(),
                        lines.repeated(),
                        null,
                        "is there twice; each key must be there once")));
            }
            throw whole(
                    file,
                    e.getLocation() == null ? 0 : e.getLocation().getLineNr(),
                    "it is not TOML: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    /** Reads a text that stands in no file, by a name that stands for it; the environment has no say. */
    static TomlDocument of(String text, String name) {
        return read(Path.of(name), text, Map.of());
    }

    private static String text(Path file) throws IOException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw whole(file, 0, "it is larger than 4MiB");
            }
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw whole(file, 0, "there is no such file");
        } catch (CharacterCodingException e) {
            throw whole(file, 0, "it is not UTF-8");
        }
    }

    private static ConfigException whole(Path file, int line, String why) {
        return new ConfigException(List.of(new ConfigProblem(file, line, "", null, why)));
    }

    /** What stands above all tables; names that are neither its keys nor one of the tables are reported. */
    public TableReader top(ConfigTable keys, List<ConfigTable> tables) {
        TableReader top = new TableReader(keys, 0, root, environment, findings);
        top.checkNames(tables.stream()
                .map(ConfigTable::name)
                .filter(name -> !name.isEmpty())
                .toList());
        return top;
    }

    /** Whether the file has a table of this name. */
    public boolean has(ConfigTable table) {
        return root.has(table.name());
    }

    /** The table of this name, empty where the file has none; unknown keys of it are reported. */
    public TableReader one(ConfigTable table) {
        JsonNode fields = root.get(table.name());
        if (fields != null && !fields.isObject()) {
            findings.wrong(table.name(), fields.toString(), "must be a table: [" + table.name() + "]");
            fields = null;
        }
        TableReader section = new TableReader(
                table, 0, fields == null ? JsonNodeFactory.instance.objectNode() : fields, environment, findings);
        section.checkNames(List.of());
        return section;
    }

    /** All tables of this name, in the order of the file. */
    public List<TableReader> all(ConfigTable table) {
        JsonNode elements = root.get(table.name());
        List<TableReader> sections = new ArrayList<>();
        if (elements == null) {
            return sections;
        }
        boolean tables = elements.isArray();
        for (JsonNode element : elements) {
            tables &= element.isObject();
        }
        if (!tables || elements.size() > table.most()) {
            findings.wrong(
                    table.name(),
                    tables ? elements.size() + " tables" : elements.toString(),
                    "must be 1 to " + table.most() + " tables: [[" + table.name() + "]]");
            return sections;
        }
        for (JsonNode element : elements) {
            TableReader section = new TableReader(table, sections.size(), element, environment, findings);
            section.checkNames(List.of());
            sections.add(section);
        }
        return sections;
    }

    /** Says that something is wrong, or missing where the value is null. */
    public void wrong(String path, String value, String allowed) {
        findings.wrong(path, value, allowed);
    }

    /** Whether anything is wrong so far. */
    public boolean isWrong() {
        return !findings.problems.isEmpty();
    }

    /** Ends the reading: a {@link ConfigException} names all that is wrong, in the order of the file. */
    public void check() {
        if (isWrong()) {
            findings.problems.sort(Comparator.comparingInt(ConfigProblem::line));
            throw new ConfigException(findings.problems);
        }
    }

    /** The values in force, in the order in which they were asked for. */
    List<LoadedConfiguration.Value> values() {
        return findings.values;
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
    private static final class Findings implements TableReader.Report {
        private final Path file;
        private final TomlLines lines;
        private final List<ConfigProblem> problems = new ArrayList<>();
        private final List<LoadedConfiguration.Value> values = new ArrayList<>();

        Findings(Path file, TomlLines lines) {
            this.file = file;
            this.lines = lines;
        }

        @Override
        public void wrong(String path, String value, String allowed) {
            problems.add(new ConfigProblem(file, lines.of(path), path, value, allowed));
        }

        @Override
        public void inForce(String path, String text, TableReader.Origin origin, boolean live) {
            values.add(new LoadedConfiguration.Value(
                    path,
                    text,
                    switch (origin) {
                        case DEFAULT -> "default";
                        case ENVIRONMENT -> "environment";
                        case FILE -> file + ":" + lines.of(path);
                    },
                    live));
        }
    }
}
