package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemonrail.config.ConfigException;
import lemonrail.config.ConfigProblem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ScaleFileTest {

    private static final Path SCENARIOS = Path.of("scenarios");

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"scale", "scale-small"})
    void shippedScenariosAreRead(String name) throws IOException {
        ScaleScenario scenario = ScaleFile.read(SCENARIOS.resolve(name + ".toml"));
        assertEquals(name, scenario.name());
        assertEquals(3000, scenario.targets().maxPropagationMs());
    }

    @Test
    void largeScenarioHasTheTargetSize() throws IOException {
        ScaleScenario scenario = ScaleFile.read(SCENARIOS.resolve("scale.toml"));
        assertEquals(new Site(1000, 110, 2, 7, 20), scenario.site());
        assertEquals(new ScaleScenario.Targets(3000, 2.2, 32, 15), scenario.targets());
        assertEquals(143, scenario.site().zoneSize());
        assertEquals(500, scenario.site().regionSize());
        assertTrue(
                Arrays.stream(ScaleScenario.Kind.values())
                        .allMatch(kind -> scenario.storms().stream().anyMatch(storm -> storm.kind() == kind)),
                "the scenario must contain each kind of storm");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "endpoints = 1000      | endpoints = 0         | site.endpoints    | a whole number from",
                "endpoints = 1000      | endpoints = 100       | site.services     | is above site.endpoints",
                "endpoints = 1000      | endpoints = 8         | sidecars.real     | must be less than site.endpoints",
                "endpoints = 1000      |                       | site.endpoints    | is missing",
                "services = 110        | servces = 110         | site.servces      | unknown key",
                "real = 8              | real = 33             | sidecars.real     | a whole number from",
                "in-force = \"3s\"     | in-force = 3          | targets.in-force  | a time with its unit",
                "core-percent = 2.2    | core-percent = 0      | targets.core-percent | a number from",
                "listed = [10, 100, 1000, 3000] | listed = [10, 100] | slopes.listed | 3 or more ascending",
                "listed = [10, 100, 1000, 3000] | listed = [10, 100, 5000] | slopes.listed | from 1 to 4000",
                "changes = [0.0, 1.0, 5.0, 20.0] | changes = [0.0, 5.0, 5.0] | slopes.changes | 3 or more ascending",
                "watchers = [100, 300, 1000] | watchers = [100, 300, 0.5] | slopes.watchers | 3 or more ascending",
                "kind = \"zone\"       | kind = \"planet\"     | storms[5].kind    | one of \"change\"",
                "listed = \"service\"  | listed = \"some\"     | storms[12].listed | one of \"all\"",
                "length = \"60s\"      | length = \"60\"       | storms[7].length  | a time with its unit",
            })
    void problemsAreReportedWithKeyAndLine(String valid, String invalid, String key, String expectedMessage)
            throws IOException {
        String text = Files.readString(SCENARIOS.resolve("scale.toml"));
        assertTrue(text.contains(valid), "the scenario no longer contains " + valid);
        Path file = Files.writeString(
                folder.resolve("spoilt.toml"),
                text.replaceFirst(Pattern.quote(valid), invalid == null ? "" : Matcher.quoteReplacement(invalid)));
        List<ConfigProblem> problems =
                assertThrows(ConfigException.class, () -> ScaleFile.read(file)).problems();
        assertTrue(
                problems.stream()
                        .anyMatch(problem ->
                                problem.key().equals(key) && problem.message().contains(expectedMessage)),
                problems.toString());
        assertTrue(
                problems.stream().allMatch(problem -> problem.line() > 0 || problem.value() == null),
                problems.toString());
    }

    @Test
    void scenarioWithoutStormsIsRejected() throws IOException {
        Path file = Files.writeString(folder.resolve("none.toml"), """
            about = "nothing"
            [site]
            endpoints = 10
            services = 2
            zones = 2
            rack = 2
            """);
        List<ConfigProblem> problems =
                assertThrows(ConfigException.class, () -> ScaleFile.read(file)).problems();
        assertEquals("storms", problems.get(0).key());
    }
}
