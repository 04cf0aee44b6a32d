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

/** Reads the scenario file of a scale run. Every problem is reported with file, line, key and value. */
public final class ScaleFile {

    private static final double HOUR_MS = 3_600_000;
    private static final int MAX_ENDPOINTS = 4000;
    private static final int MAX_REAL_SIDECARS = 32;

    private static final ConfigKey<String> ABOUT =
            ConfigKey.required("about", ValueType.text(".{1,400}", "a sentence"), "describes the run in reports");
    private static final ConfigKey<Integer> SEED =
            ConfigKey.optional("seed", ValueType.whole(0, Integer.MAX_VALUE), "1", "seed of the random numbers");
    private static final ConfigTable ROOT = new ConfigTable("", 0, "", List.of(ABOUT, SEED));

    private static final ConfigKey<Integer> ENDPOINTS = ConfigKey.required(
            "endpoints", ValueType.whole(1, MAX_ENDPOINTS), "number of endpoints, each with a sidecar");
    private static final ConfigKey<Integer> SERVICES = ConfigKey.required(
            "services", ValueType.whole(1, 1000), "number of services, to which endpoints are assigned in turn");
    private static final ConfigKey<Integer> REGIONS = ConfigKey.optional(
            "regions", ValueType.whole(1, 16), "2", "number of regions, each of consecutive endpoints");
    private static final ConfigKey<Integer> ZONES =
            ConfigKey.optional("zones", ValueType.whole(1, 64), "7", "number of zones, each of consecutive endpoints");
    private static final ConfigKey<Integer> RACK =
            ConfigKey.optional("rack", ValueType.whole(1, MAX_ENDPOINTS), "20", "number of endpoints in a rack");
    private static final ConfigTable SITE =
            new ConfigTable("site", 0, "", List.of(ENDPOINTS, SERVICES, REGIONS, ZONES, RACK));

    private static final ConfigKey<Integer> REAL = ConfigKey.optional(
            "real",
            ValueType.whole(0, MAX_REAL_SIDECARS),
            "8",
            "number of sidecars that are processes of their own; the others are hollow");
    private static final ConfigKey<Integer> LOOPS = ConfigKey.optional(
            "loops", ValueType.whole(1, 64), "4", "number of event loops that the hollow sidecars share");
    private static final ConfigKey<Double> STORM_WARM_UP = ConfigKey.optional(
            "warm-up",
            ValueType.duration(0, HOUR_MS),
            "\"6s\"",
            "duration of changes before the first storm, so that the JIT compiler finishes");
    private static final ConfigKey<Double> IDLE = ConfigKey.optional(
            "idle",
            ValueType.duration(100, HOUR_MS),
            "\"10s\"",
            "duration without changes after that, which shows the cost without them");
    private static final ConfigTable SIDECARS =
            new ConfigTable("sidecars", 0, "", List.of(REAL, LOOPS, STORM_WARM_UP, IDLE));

    private static final ConfigKey<Double> MAX_PROPAGATION = ConfigKey.optional(
            "in-force",
            ValueType.duration(1, HOUR_MS),
            "\"3s\"",
            "the time within which a change must be in force everywhere");
    private static final ConfigKey<Double> MAX_CORE_PERCENT = ConfigKey.optional(
            "core-percent",
            ValueType.number(0.01, 100),
            "2.2",
            "processor time that control may cost a sidecar, in percent of one core");
    private static final ConfigKey<Double> MAX_MEMORY = ConfigKey.optional(
            "memory-mb", ValueType.number(0.1, 10_000), "32.0", "memory in MB that control may cost a sidecar");
    private static final ConfigKey<Double> MAX_KILOBYTES = ConfigKey.optional(
            "kilobytes-per-second",
            ValueType.number(0.01, 1e6),
            "15.0",
            "kilobytes per second that control may cost a sidecar");
    private static final ConfigTable TARGETS =
            new ConfigTable("targets", 0, "", List.of(MAX_PROPAGATION, MAX_CORE_PERCENT, MAX_MEMORY, MAX_KILOBYTES));

    private static final ConfigKey<List<Integer>> LIST_SIZES = ConfigKey.required(
            "listed",
            ascendingNumbers("endpoints", 1, MAX_ENDPOINTS, JsonNode::isInt, JsonNode::intValue),
            "numbers of endpoints in a list");
    private static final ConfigKey<List<Double>> CHANGES_PER_S = ConfigKey.required(
            "changes",
            ascendingNumbers("changes", 0, 1000, JsonNode::isNumber, JsonNode::doubleValue),
            "rates in changes per second");
    private static final ConfigKey<List<Integer>> WATCHERS = ConfigKey.required(
            "watchers",
            ascendingNumbers("watchers", 1, MAX_ENDPOINTS, JsonNode::isInt, JsonNode::intValue),
            "numbers of watchers of one control node");
    private static final ConfigKey<Integer> PER_SIZE = ConfigKey.optional(
            "per-size", ValueType.whole(1, 8), "2", "number of real sidecars for each number of endpoints in a list");
    private static final ConfigKey<Double> SLOPE_INITIAL_WARM_UP = ConfigKey.optional(
            "heat", ValueType.duration(0, HOUR_MS), "\"8s\"", "duration of the load before the first point");
    private static final ConfigKey<Double> POINT_WARM_UP = ConfigKey.optional(
            "warm-up", ValueType.duration(0, HOUR_MS), "\"2s\"", "duration of the load before each point");
    private static final ConfigKey<Double> WINDOW = ConfigKey.optional(
            "window", ValueType.duration(100, HOUR_MS), "\"4s\"", "duration of the measurement of a point");
    private static final ConfigTable SLOPES = new ConfigTable(
            "slopes",
            0,
            "",
            List.of(LIST_SIZES, CHANGES_PER_S, WATCHERS, PER_SIZE, SLOPE_INITIAL_WARM_UP, POINT_WARM_UP, WINDOW));

    private static final ConfigKey<ScaleScenario.Kind> KIND = ConfigKey.required(
            "kind",
            ValueType.choice(ScaleScenario.Kind.class, keyNames(ScaleScenario.Kind.values())),
            "what happens in the storm");
    private static final ConfigKey<ScaleScenario.EndpointScope> STORM_SCOPE = ConfigKey.optional(
            "listed",
            ValueType.choice(ScaleScenario.EndpointScope.class, keyNames(ScaleScenario.EndpointScope.values())),
            "\"all\"",
            "the endpoints in a sidecar's list");
    private static final ConfigKey<Integer> CHANGES = ConfigKey.optional(
            "changes",
            ValueType.whole(1, 100_000),
            "5",
            "number of changes, for kinds of storm where it can be chosen");
    private static final ConfigKey<Double> LENGTH = ConfigKey.optional(
            "length",
            ValueType.duration(0, HOUR_MS),
            "\"2s\"",
            "time over which the changes are made, or for which control is down");
    private static final ConfigTable STORMS =
            new ConfigTable("storms", 64, "", List.of(KIND, STORM_SCOPE, CHANGES, LENGTH));

    private static final List<ConfigTable> TABLES = List.of(SITE, SIDECARS, TARGETS, SLOPES, STORMS);

    private ScaleFile() {}

    private static String[] keyNames(Enum<?>[] values) {
        return Arrays.stream(values)
                .map(value -> value.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toArray(String[]::new);
    }

    /** A list of at least three numbers in ascending order. */
    private static <T extends Number> ValueType<List<T>> ascendingNumbers(
            String quantity, int min, int max, Function<JsonNode, Boolean> isValid, Function<JsonNode, T> convert) {
        return new ValueType<>(
                "array",
                "a list of " + LinearFit.MIN_POINTS + " or more ascending numbers of " + quantity + " from " + min
                        + " to " + max,
                node -> {
                    List<T> numbers = new ArrayList<>();
                    for (JsonNode element : node) {
                        double number = element.doubleValue();
                        if (!isValid.apply(element)
                                || number < min
                                || number > max
                                || (!numbers.isEmpty()
                                        && number
                                                <= numbers.get(numbers.size() - 1)
                                                        .doubleValue())) {
                            return Optional.empty();
                        }
                        numbers.add(convert.apply(element));
                    }
                    return !node.isArray() || numbers.size() < LinearFit.MIN_POINTS
                            ? Optional.empty()
                            : Optional.of(numbers);
                });
    }

    /** Reads a scenario file; a {@link lemonrail.config.ConfigException} lists all problems. */
    public static ScaleScenario read(Path file) throws IOException {
        TomlDocument document = TomlDocument.read(file, Map.of());
        TableReader root = document.root(ROOT, TABLES);
        String about = root.get(ABOUT);
        Integer seed = root.get(SEED);
        TableReader siteTable = document.table(SITE);
        Integer endpoints = siteTable.get(ENDPOINTS);
        Integer services = siteTable.get(SERVICES);
        Integer regions = siteTable.get(REGIONS);
        Integer zones = siteTable.get(ZONES);
        Integer rackSize = siteTable.get(RACK);
        for (ConfigKey<Integer> key : List.of(SERVICES, REGIONS, ZONES, RACK)) {
            Integer value = siteTable.has(key) ? siteTable.get(key) : null;
            if (endpoints != null && value != null && value > endpoints) {
                siteTable.addProblem(key, "is above site.endpoints, which is " + endpoints);
            }
        }
        TableReader sidecarsTable = document.table(SIDECARS);
        Integer realCount = sidecarsTable.get(REAL);
        Integer loops = sidecarsTable.get(LOOPS);
        Double warmUpMs = sidecarsTable.get(STORM_WARM_UP);
        Double idleMs = sidecarsTable.get(IDLE);
        if (endpoints != null && realCount != null && realCount >= endpoints) {
            sidecarsTable.addProblem(
                    REAL,
                    "must be less than site.endpoints, which is " + endpoints + ", so that some sidecars are hollow");
        }
        TableReader targetsTable = document.table(TARGETS);
        Double maxPropagationMs = targetsTable.get(MAX_PROPAGATION);
        Double maxCorePercent = targetsTable.get(MAX_CORE_PERCENT);
        Double maxMemoryMb = targetsTable.get(MAX_MEMORY);
        Double maxKilobytesPerS = targetsTable.get(MAX_KILOBYTES);
        ScaleScenario.Slopes slopes = document.has(SLOPES) ? slopes(document) : null;
        List<ScaleScenario.Storm> storms = storms(document);
        if (slopes == null && storms.isEmpty() && !document.hasProblems()) {
            document.addProblem("storms", null, "is missing; the file needs [slopes] or at least one [[storms]] table");
        }
        document.throwIfInvalid();
        return new ScaleScenario(
                file.getFileName().toString().replaceFirst("\\.toml$", ""),
                file,
                about,
                new Site(endpoints, services, regions, zones, rackSize),
                new ScaleScenario.Sidecars(realCount, loops, seed, warmUpMs, idleMs),
                new ScaleScenario.Targets(maxPropagationMs, maxCorePercent, maxMemoryMb, maxKilobytesPerS),
                slopes,
                storms);
    }

    private static ScaleScenario.Slopes slopes(TomlDocument document) {
        TableReader table = document.table(SLOPES);
        List<Integer> listSizes = table.get(LIST_SIZES);
        List<Double> changesPerS = table.get(CHANGES_PER_S);
        List<Integer> watcherCounts = table.get(WATCHERS);
        Integer sidecarsPerListSize = table.get(PER_SIZE);
        Double initialWarmUpMs = table.get(SLOPE_INITIAL_WARM_UP);
        Double warmUpMs = table.get(POINT_WARM_UP);
        Double windowMs = table.get(WINDOW);
        return document.hasProblems()
                ? null
                : new ScaleScenario.Slopes(
                        listSizes,
                        changesPerS,
                        watcherCounts,
                        sidecarsPerListSize,
                        initialWarmUpMs,
                        warmUpMs,
                        windowMs);
    }

    private static List<ScaleScenario.Storm> storms(TomlDocument document) {
        List<ScaleScenario.Storm> storms = new ArrayList<>();
        for (TableReader table : document.tables(STORMS)) {
            ScaleScenario.Kind kind = table.get(KIND);
            ScaleScenario.EndpointScope scope = table.get(STORM_SCOPE);
            Integer changeCount = table.get(CHANGES);
            Double lengthMs = table.get(LENGTH);
            if (!document.hasProblems()) {
                storms.add(new ScaleScenario.Storm(kind, scope, changeCount, lengthMs));
            }
        }
        return storms;
    }
}
