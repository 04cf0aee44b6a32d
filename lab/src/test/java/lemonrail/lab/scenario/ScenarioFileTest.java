package lemonrail.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import lemonrail.config.ConfigException;
import lemonrail.config.ConfigProblem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class ScenarioFileTest {

    private static final Path SCENARIOS = Path.of("scenarios");

    @TempDir
    private Path folder;

    static Stream<Path> shipped() throws IOException {
        // ScaleFileTest reads the scenarios of scale runs, which have a different format.
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            return files
                    .filter(file -> !file.endsWith("edge.toml")
                            && !file.getFileName().toString().startsWith("scale"))
                    .sorted()
                    .toList()
                    .stream();
        }
    }

    @ParameterizedTest
    @MethodSource("shipped")
    void shippedScenariosAreRead(Path file) throws IOException {
        Scenario scenario = ScenarioFile.read(file);
        assertEquals(5, scenario.variants().size());
        assertEquals(file.getFileName().toString(), scenario.name() + ".toml");
    }

    @Test
    void atLeastTwelveScenariosAreShipped() throws IOException {
        try (Stream<Path> files = shipped()) {
            assertTrue(files.count() >= 12);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "rate = 31             | rate = 0            | load.rate            | a number from",
                "rate = 31             | rtae = 31           | load.rtae            | unknown key",
                "rate = 31             |                     | load.rate            | is missing",
                "warm-up = \"3s\"      | warm-up = \"30s\"   | load.warm-up         | must be below load.length",
                "work = \"205ms\"      | work = 205          | requests[0].work     | a time with its unit",
                "most-speed = 1.1      | most-speed = 0.1    | tiers[0].least-speed | must not exceed",
                "racks = 2             | racks = 0           | tiers[0].racks       | a whole number from 1",
                "racks = 2             | calls = 1.5         | tiers[0].calls       | must be 0 in the last tier",
                "kind = \"vanish\"     | kind = \"explode\"  | faults[0].kind       | one of \"vanish\"",
                "begin = \"8s\"        | begin = \"8\"       | faults[0].begin      | a time with its unit",
                "begin = \"8s\"        | tier = 3            | faults[0].tier       | has only 1 tiers",
                "decider = \"random\"  | decider = \"best\"  | variants[1].decider  | one of \"boxcar\"",
                "decider = \"random\"  | set = \"attempts\"  | variants[1].set      | settings of the edge",
                "decider = \"random\"  | jar = \"x.jar\"     | variants[1].jar      | only if sidecars.run",
                "name = \"random\"     | name = \"boxcar\"   | variants[1].name     | is duplicated",
                "decider = \"random\"  | set = \"limits.atempts=2\" | variants[1].set | limits.atempts is not a key",
                "decider = \"random\"  | set = \"limits.attempts=x\" | variants[1].set | a whole number",
                "class = \"quote-issue\" | class = \"quote\" | requests[1].class | which are [quote-preview",
                "name = \"north\"      | name = \"nobody\"   | tenants[1].name      | which are [central, north",
                "seeds = 3             | edge = \"none\"     | edge                 | file does not exist",
            })
    void problemsAreReportedWithKeyAndLine(String valid, String invalid, String key, String expectedMessage)
            throws IOException {
        Files.copy(SCENARIOS.resolve("edge.toml"), folder.resolve("edge.toml"));
        String text = Files.readString(SCENARIOS.resolve("one-silent.toml"));
        assertTrue(text.contains(valid), "the scenario no longer contains " + valid);
        Path file = Files.writeString(
                folder.resolve("spoilt.toml"),
                text.replaceFirst(
                        java.util.regex.Pattern.quote(valid), invalid == null ? "" : invalid.replace("\\", "\\\\")));
        List<ConfigProblem> problems = assertThrows(ConfigException.class, () -> ScenarioFile.read(file))
                .problems();
        assertTrue(
                problems.stream()
                        .anyMatch(problem ->
                                problem.key().equals(key) && problem.message().contains(expectedMessage)),
                problems.toString());
        assertTrue(
                problems.stream().allMatch(problem -> problem.line() > 0 || problem.value() == null),
                problems.toString());
    }
}
