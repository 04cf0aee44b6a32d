package lemonrail.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import lemonrail.config.ConfigKey;
import lemonrail.config.ConfigTable;
import lemonrail.config.TableReader;
import lemonrail.config.TomlDocument;
import lemonrail.config.ValueType;

/** Reads the file of a scale run; all that is wrong with it is named by file, line, key and value. */
public final class ScaleFile {

    private static final double HOUR_MS = 3_600_000;
    private static final int MOST_ENDPOINTS = 4000;
    private static final int MOST_REAL = 32;

    private static final ConfigKey<String> ABOUT =
            ConfigKey.required("about", ValueType.text(".{1,400}", "a sentence"), "what is played, for reports");
    private static final ConfigKey<Integer> SEED =
            ConfigKey.optional("seed", ValueType.whole(0, Integer.MAX_VALUE), "1", "for random numbers");
    private static final ConfigTable ROOT = new ConfigTable("", 0, "", List.of(ABOUT, SEED));

    private static final ConfigKey<Integer> ENDPOINTS =
            ConfigKey.required("endpoints", ValueType.whole(1, MOST_ENDPOINTS), "each with its sidecar");
    private static final ConfigKey<Integer> SERVICES =
            ConfigKey.required("services", ValueType.whole(1, 1000), "among which they are dealt out");
    private static final ConfigKey<Integer> REGIONS = ConfigKey.optional(
            "regions", ValueType.whole(1, 16), "2", "among which they are dealt out, in their order");
    private static final ConfigKey<Integer> ZONES =
            ConfigKey.optional("zones", ValueType.whole(1, 64), "7", "the same");
    private static final ConfigKey<Integer> RACK =
            ConfigKey.optional("rack", ValueType.whole(1, MOST_ENDPOINTS), "20", "endpoints of one rack");
    private static final ConfigTable SITE =
            new ConfigTable("site", 0, "", List.of(ENDPOINTS, SERVICES, REGIONS, ZONES, RACK));

    private static final ConfigKey<Integer> REAL = ConfigKey.optional(
            "real",
            ValueType.whole(0, MOST_REAL),
            "8",
            "sidecars that are processes of their own; the others are hollow");
    private static final ConfigKey<Integer> LOOPS = ConfigKey.optional(
            "loops", ValueType.whole(1, 64), "4", "event loops among which the hollow ones are dealt out");
    private static final ConfigKey<Double> HEAT_BEFORE = ConfigKey.optional(
            "warm-up", ValueType.duration(0, HOUR_MS), "\"6s\"", "changes before the first storm, for the compiler");
    private static final ConfigKey<Double> IDLE = ConfigKey.optional(
            "idle",
            ValueType.duration(100, HOUR_MS),
            "\"10s\"",
            "without changes after that, which shows what there is without any");
    private static final ConfigTable SIDECARS =
            new ConfigTable("sidecars", 0, "", List.of(REAL, LOOPS, HEAT_BEFORE, IDLE));

    private static final ConfigKey<Double> IN_FORCE = ConfigKey.optional(
            "in-force",
            ValueType.duration(1, HOUR_MS),
            "\"3s\"",
            "a change must be in force everywhere within this time");
    private static final ConfigKey<Double> CORE = ConfigKey.optional(
            "core-percent", ValueType.number(0.01, 100), "2.2", "of one core, that control may cost a sidecar");
    private static final ConfigKey<Double> MEMORY =
            ConfigKey.optional("memory-mb", ValueType.number(0.1, 10_000), "32.0", "that control may cost a sidecar");
    private static final ConfigKey<Double> KILOBYTES = ConfigKey.optional(
            "kilobytes-per-second", ValueType.number(0.01, 1e6), "15.0", "that control may cost a sidecar");
    private static final ConfigTable TARGETS =
            new ConfigTable("targets", 0, "", List.of(IN_FORCE, CORE, MEMORY, KILOBYTES));

    private static final ConfigKey<List<Integer>> LISTED_COUNTS = ConfigKey.required(
            "listed", rising("endpoints", 1, MOST_ENDPOINTS, JsonNode::isInt, JsonNode::intValue), "endpoints listed");
    private static final ConfigKey<List<Double>> CHANGES_PER_S = ConfigKey.required(
            "changes", rising("changes", 0, 1000, JsonNode::isNumber, JsonNode::doubleValue), "a second");
    private static final ConfigKey<List<Integer>> WATCHERS = ConfigKey.required(
            "watchers",
            rising("watchers", 1, MOST_ENDPOINTS, JsonNode::isInt, JsonNode::intValue),
            "of one control node");
    private static final ConfigKey<Integer> PER_SIZE = ConfigKey.optional(
            "per-size", ValueType.whole(1, 8), "2", "real sidecars for each number of endpoints listed");
    private static final ConfigKey<Double> HEAT =
            ConfigKey.optional("heat", ValueType.duration(0, HOUR_MS), "\"8s\"", "load before the first point");
    private static final ConfigKey<Double> WARM_UP =
            ConfigKey.optional("warm-up", ValueType.duration(0, HOUR_MS), "\"2s\"", "the same load before each point");
    private static final ConfigKey<Double> WINDOW =
            ConfigKey.optional("window", ValueType.duration(100, HOUR_MS), "\"4s\"", "over which a point is measured");
    private static final ConfigTable SLOPES = new ConfigTable(
            "slopes", 0, "", List.of(LISTED_COUNTS, CHANGES_PER_S, WATCHERS, PER_SIZE, HEAT, WARM_UP, WINDOW));

    private static final ConfigKey<ScaleScenario.Kind> KIND = ConfigKey.required(
            "kind", ValueType.choice(ScaleScenario.Kind.class, words(ScaleScenario.Kind.values())), "what happens");
    private static final ConfigKey<ScaleScenario.Listed> LISTED = ConfigKey.optional(
            "listed",
            ValueType.choice(ScaleScenario.Listed.class, words(ScaleScenario.Listed.values())),
            "\"all\"",
            "of how many endpoints a sidecar is told");
    private static final ConfigKey<Integer> CHANGES = ConfigKey.optional(
            "changes", ValueType.whole(1, 100_000), "5", "how many there are, where the kind lets one choose");
    private static final ConfigKey<Double> LENGTH = ConfigKey.optional(
            "length",
            ValueType.duration(0, HOUR_MS),
            "\"2s\"",
            "over which they come, or for how long control is away");
    private static final ConfigTable STORMS = new ConfigTable("storms", 64, "", List.of(KIND, LISTED, CHANGES, LENGTH));

    private static final List<ConfigTable> TABLES = List.of(SITE, SIDECARS, TARGETS, SLOPES, STORMS);

    private ScaleFile() {}

    private static String[] words(Enum<?>[] values) {
        return Arrays.stream(values)
                .map(value -> value.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toArray(String[]::new);
    }

    /** Three numbers or more, each above the one before. */
    private static <T extends Number> ValueType<List<T>> rising(
            String what, int least, int most, Function<JsonNode, Boolean> fits, Function<JsonNode, T> read) {
        return new ValueType<>(
                "array",
                "a list of " + LinearFit.LEAST_POINTS + " or more rising numbers of " + what + " from " + least + " to "
                        + most,
                node -> {
                    List<T> numbers = new ArrayList<>();
                    for (JsonNode element : node) {
                        double number = element.doubleValue();
                        if (!fits.apply(element)
                                || number < least
                                || number > most
                                || (!numbers.isEmpty()
                                        && number
                                                <= numbers.get(numbers.size() - 1)
                                                        .doubleValue())) {
                            return Optional.empty();
                        }
                        numbers.add(read.apply(element));
                    }
                    return !node.isArray() || numbers.size() < LinearFit.LEAST_POINTS
                            ? Optional.empty()
                            : Optional.of(numbers);
                });
    }

    /** Reads a file; a {@link lemonrail.config.ConfigException} names what is wrong. */
    public static ScaleScenario read(Path file) throws IOException {
        TomlDocument document = TomlDocument.read(file, Map.of());
        TableReader root = document.root(ROOT, TABLES);
        String about = root.get(ABOUT);
        Integer seed = root.get(SEED);
        TableReader place = document.table(SITE);
        Integer endpoints = place.get(ENDPOINTS);
        Integer services = place.get(SERVICES);
        Integer regions = place.get(REGIONS);
        Integer zones = place.get(ZONES);
        Integer rack = place.get(RACK);
        for (ConfigKey<Integer> key : List.of(SERVICES, REGIONS, ZONES, RACK)) {
            Integer value = place.has(key) ? place.get(key) : null;
            if (endpoints != null && value != null && value > endpoints) {
                place.addProblem(key, "is above site.endpoints, which is " + endpoints);
            }
        }
        TableReader many = document.table(SIDECARS);
        Integer real = many.get(REAL);
        Integer loops = many.get(LOOPS);
        Double heatMs = many.get(HEAT_BEFORE);
        Double idleMs = many.get(IDLE);
        if (endpoints != null && real != null && real >= endpoints) {
            many.addProblem(REAL, "must leave some of the " + endpoints + " sidecars hollow");
        }
        TableReader goals = document.table(TARGETS);
        Double inForce = goals.get(IN_FORCE);
        Double core = goals.get(CORE);
        Double memory = goals.get(MEMORY);
        Double kilobytes = goals.get(KILOBYTES);
        ScaleScenario.Slopes slopes = document.has(SLOPES) ? slopes(document) : null;
        List<ScaleScenario.Storm> storms = storms(document);
        if (slopes == null && storms.isEmpty() && !document.hasProblems()) {
            document.addProblem("storms", null, "is missing; there must be [slopes] or at least one [[storms]]");
        }
        document.throwIfInvalid();
        return new ScaleScenario(
                file.getFileName().toString().replaceFirst("\\.toml$", ""),
                file,
                about,
                new Site(endpoints, services, regions, zones, rack),
                new ScaleScenario.Sidecars(real, loops, seed, heatMs, idleMs),
                new ScaleScenario.Targets(inForce, core, memory, kilobytes),
                slopes,
                storms);
    }

    private static ScaleScenario.Slopes slopes(TomlDocument document) {
        TableReader section = document.table(SLOPES);
        List<Integer> listed = section.get(LISTED_COUNTS);
        List<Double> changes = section.get(CHANGES_PER_S);
        List<Integer> watchers = section.get(WATCHERS);
        Integer perSize = section.get(PER_SIZE);
        Double heat = section.get(HEAT);
        Double warmUp = section.get(WARM_UP);
        Double window = section.get(WINDOW);
        return document.hasProblems()
                ? null
                : new ScaleScenario.Slopes(listed, changes, watchers, perSize, heat, warmUp, window);
    }

    private static List<ScaleScenario.Storm> storms(TomlDocument document) {
        List<ScaleScenario.Storm> storms = new ArrayList<>();
        for (TableReader section : document.tables(STORMS)) {
            ScaleScenario.Kind kind = section.get(KIND);
            ScaleScenario.Listed listed = section.get(LISTED);
            Integer changes = section.get(CHANGES);
            Double length = section.get(LENGTH);
            if (!document.hasProblems()) {
                storms.add(new ScaleScenario.Storm(kind, listed, changes, length));
            }
        }
        return storms;
    }
}
