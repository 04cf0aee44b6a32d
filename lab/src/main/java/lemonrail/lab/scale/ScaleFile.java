package lemonrail.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import lemonrail.config.Key;
import lemonrail.config.Section;
import lemonrail.config.Table;
import lemonrail.config.TomlDocument;
import lemonrail.config.ValueType;

/** Reads the file of a scale run; all that is wrong with it is named by file, line, key and value. */
public final class ScaleFile {

    private static final double HOUR_MS = 3_600_000;
    private static final int MOST_ENDPOINTS = 4000;
    private static final int MOST_REAL = 32;

    private static final Key<String> ABOUT =
            Key.required("about", ValueType.text(".{1,400}", "a sentence"), "what is played, for reports");
    private static final Key<Integer> SEED =
            Key.optional("seed", ValueType.whole(0, Integer.MAX_VALUE), "1", "for random numbers");
    private static final Table ROOT = new Table("", 0, "", List.of(ABOUT, SEED));

    private static final Key<Integer> ENDPOINTS =
            Key.required("endpoints", ValueType.whole(1, MOST_ENDPOINTS), "each with its sidecar");
    private static final Key<Integer> SERVICES =
            Key.required("services", ValueType.whole(1, 1000), "among which they are dealt out");
    private static final Key<Integer> REGIONS =
            Key.optional("regions", ValueType.whole(1, 16), "2", "among which they are dealt out, in their order");
    private static final Key<Integer> ZONES = Key.optional("zones", ValueType.whole(1, 64), "7", "the same");
    private static final Key<Integer> RACK =
            Key.optional("rack", ValueType.whole(1, MOST_ENDPOINTS), "20", "endpoints of one rack");
    private static final Table SITE = new Table("site", 0, "", List.of(ENDPOINTS, SERVICES, REGIONS, ZONES, RACK));

    private static final Key<Integer> REAL = Key.optional(
            "real",
            ValueType.whole(0, MOST_REAL),
            "8",
            "sidecars that are processes of their own; the others are hollow");
    private static final Key<Integer> LOOPS =
            Key.optional("loops", ValueType.whole(1, 64), "4", "event loops among which the hollow ones are dealt out");
    private static final Key<Double> HEAT_BEFORE = Key.optional(
            "warm-up", ValueType.duration(0, HOUR_MS), "\"6s\"", "changes before the first storm, for the compiler");
    private static final Key<Double> IDLE = Key.optional(
            "idle",
            ValueType.duration(100, HOUR_MS),
            "\"10s\"",
            "without changes after that, which shows what there is without any");
    private static final Table SIDECARS = new Table("sidecars", 0, "", List.of(REAL, LOOPS, HEAT_BEFORE, IDLE));

    private static final Key<Double> IN_FORCE = Key.optional(
            "in-force",
            ValueType.duration(1, HOUR_MS),
            "\"3s\"",
            "a change must be in force everywhere within this time");
    private static final Key<Double> CORE = Key.optional(
            "core-percent", ValueType.number(0.01, 100), "2.2", "of one core, that control may cost a sidecar");
    private static final Key<Double> MEMORY =
            Key.optional("memory-mb", ValueType.number(0.1, 10_000), "32.0", "that control may cost a sidecar");
    private static final Key<Double> KILOBYTES = Key.optional(
            "kilobytes-per-second", ValueType.number(0.01, 1e6), "15.0", "that control may cost a sidecar");
    private static final Table TARGETS = new Table("targets", 0, "", List.of(IN_FORCE, CORE, MEMORY, KILOBYTES));

    private static final Key<List<Integer>> LISTED_COUNTS = Key.required(
            "listed", rising("endpoints", 1, MOST_ENDPOINTS, JsonNode::isInt, JsonNode::intValue), "endpoints listed");
    private static final Key<List<Double>> CHANGES_PER_S =
            Key.required("changes", rising("changes", 0, 1000, JsonNode::isNumber, JsonNode::doubleValue), "a second");
    private static final Key<List<Integer>> WATCHERS = Key.required(
            "watchers",
            rising("watchers", 1, MOST_ENDPOINTS, JsonNode::isInt, JsonNode::intValue),
            "of one control node");
    private static final Key<Integer> PER_SIZE =
            Key.optional("per-size", ValueType.whole(1, 8), "2", "real sidecars for each number of endpoints listed");
    private static final Key<Double> HEAT =
            Key.optional("heat", ValueType.duration(0, HOUR_MS), "\"8s\"", "load before the first point");
    private static final Key<Double> WARM_UP =
            Key.optional("warm-up", ValueType.duration(0, HOUR_MS), "\"2s\"", "the same load before each point");
    private static final Key<Double> WINDOW =
            Key.optional("window", ValueType.duration(100, HOUR_MS), "\"4s\"", "over which a point is measured");
    private static final Table SLOPES = new Table(
            "slopes", 0, "", List.of(LISTED_COUNTS, CHANGES_PER_S, WATCHERS, PER_SIZE, HEAT, WARM_UP, WINDOW));

    private static final Key<ScaleScenario.Kind> KIND = Key.required(
            "kind", ValueType.choice(ScaleScenario.Kind.class, words(ScaleScenario.Kind.values())), "what happens");
    private static final Key<ScaleScenario.Listed> LISTED = Key.optional(
            "listed",
            ValueType.choice(ScaleScenario.Listed.class, words(ScaleScenario.Listed.values())),
            "\"all\"",
            "of how many endpoints a sidecar is told");
    private static final Key<Integer> CHANGES = Key.optional(
            "changes", ValueType.whole(1, 100_000), "5", "how many there are, where the kind lets one choose");
    private static final Key<Double> LENGTH = Key.optional(
            "length",
            ValueType.duration(0, HOUR_MS),
            "\"2s\"",
            "over which they come, or for how long control is away");
    private static final Table STORMS = new Table("storms", 64, "", List.of(KIND, LISTED, CHANGES, LENGTH));

    private static final List<Table> TABLES = List.of(SITE, SIDECARS, TARGETS, SLOPES, STORMS);

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
                            return null;
                        }
                        numbers.add(read.apply(element));
                    }
                    return !node.isArray() || numbers.size() < LinearFit.LEAST_POINTS ? null : numbers;
                });
    }

    /** Reads a file; a {@link lemonrail.config.ConfigException} names what is wrong. */
    public static ScaleScenario read(Path file) throws IOException {
        TomlDocument document = TomlDocument.read(file, Map.of());
        Section root = document.top(ROOT, TABLES);
        String about = root.get(ABOUT);
        Integer seed = root.get(SEED);
        Section place = document.one(SITE);
        Integer endpoints = place.get(ENDPOINTS);
        Integer services = place.get(SERVICES);
        Integer regions = place.get(REGIONS);
        Integer zones = place.get(ZONES);
        Integer rack = place.get(RACK);
        for (Key<Integer> key : List.of(SERVICES, REGIONS, ZONES, RACK)) {
            Integer value = place.has(key) ? place.get(key) : null;
            if (endpoints != null && value != null && value > endpoints) {
                place.contradicts(key, "is above site.endpoints, which is " + endpoints);
            }
        }
        Section many = document.one(SIDECARS);
        Integer real = many.get(REAL);
        Integer loops = many.get(LOOPS);
        Double heatMs = many.get(HEAT_BEFORE);
        Double idleMs = many.get(IDLE);
        if (endpoints != null && real != null && real >= endpoints) {
            many.contradicts(REAL, "must leave some of the " + endpoints + " sidecars hollow");
        }
        Section goals = document.one(TARGETS);
        Double inForce = goals.get(IN_FORCE);
        Double core = goals.get(CORE);
        Double memory = goals.get(MEMORY);
        Double kilobytes = goals.get(KILOBYTES);
        ScaleScenario.Slopes slopes = document.has(SLOPES) ? slopes(document) : null;
        List<ScaleScenario.Storm> storms = storms(document);
        if (slopes == null && storms.isEmpty() && !document.isWrong()) {
            document.wrong("storms", null, "is missing; there must be [slopes] or at least one [[storms]]");
        }
        document.check();
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
        Section section = document.one(SLOPES);
        List<Integer> listed = section.get(LISTED_COUNTS);
        List<Double> changes = section.get(CHANGES_PER_S);
        List<Integer> watchers = section.get(WATCHERS);
        Integer perSize = section.get(PER_SIZE);
        Double heat = section.get(HEAT);
        Double warmUp = section.get(WARM_UP);
        Double window = section.get(WINDOW);
        return document.isWrong()
                ? null
                : new ScaleScenario.Slopes(listed, changes, watchers, perSize, heat, warmUp, window);
    }

    private static List<ScaleScenario.Storm> storms(TomlDocument document) {
        List<ScaleScenario.Storm> storms = new ArrayList<>();
        for (Section section : document.all(STORMS)) {
            ScaleScenario.Kind kind = section.get(KIND);
            ScaleScenario.Listed listed = section.get(LISTED);
            Integer changes = section.get(CHANGES);
            Double length = section.get(LENGTH);
            if (!document.isWrong()) {
                storms.add(new ScaleScenario.Storm(kind, listed, changes, length));
            }
        }
        return storms;
    }
}
