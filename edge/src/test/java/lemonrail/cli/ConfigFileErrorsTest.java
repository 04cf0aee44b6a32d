package lemonrail.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import lemonrail.config.ConfigException;
import lemonrail.config.ConfigProblem;
import lemonrail.config.EdgeConfig;
import lemonrail.config.LoadedConfiguration;
import lemonrail.config.TomlFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that each error in a configuration file is reported with file, line, key, value and allowed values. */
class ConfigFileErrorsTest {

    private static final String VALID = """
        name = "edge"
        seed = 7
        [[listeners]]
        address = "127.0.0.1:9000"
        [admin]
        address = "127.0.0.1:9001"
        [[endpoints]]
        id = "a"
        address = "127.0.0.1:9101"
        [[endpoints]]
        id = "b"
        address = "127.0.0.1:9102"
        zone = "east"
        weight = 2
        [fleet]
        zones = ["east", "west"]
        own-zone = "west"
        [[classes]]
        name = "read"
        effect = "repeatable"
        aim = "1s"
        deadline = "2.5s"
        [[classes]]
        name = "save"
        effect = "keyed"
        key-window = "10s"
        aim = "500ms"
        deadline = "2s"
        worth = 3
        [[tenants]]
        name = "north"
        rate = 5.5
        [limits]
        memory = "64MiB"
        descriptors = 256
        attempts = 2
        [balancing]
        balancers = 4
        number = 3
        [logging]
        level = "info"
        """;

    @TempDir
    Path folder;

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("edge.toml"), text);
    }

    private List<ConfigProblem> problems(String text) throws IOException {
        Path file = file(text);
        return assertThrows(ConfigException.class, () -> new TomlFile(file, Map.of()).load())
                .problems();
    }

    @Test
    void baseFileIsValid() throws IOException {
        EdgeConfig config = new TomlFile(file(VALID), Map.of()).load().config();
        assertEquals(1, config.settings().zone());
        assertEquals(2500, config.settings().classes().get(0).deadlineMs());
        assertEquals(64, config.memoryMb());
        assertEquals(2, config.initialEndpoints().entries().size());
    }

    /** Columns: replaced text, replacement, and line, key and part of the message of the first expected problem. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "seed = 7|seed = -1|2|seed|= -1: must be a whole number from 0 to 2147483647",
                "seed = 7|seed = 1.5|2|seed|= 1.5: must be a whole number",
                "seed = 7|sead = 7|2|sead|= 7: unknown key; allowed keys are name, state-dir, seed",
                "seed = 7|seed = = 7|2||invalid TOML",
                "seed = 7|seed = 7 seed|2||invalid TOML",
                "seed = 7|name = 'twice'|2|name|: is defined twice",
                "name = \"edge\"|name = \"a/b\"|1|name|= \"a/b\": must be 1 to 64 letters, digits",
                "name = \"edge\"|name = \"\"|1|name|must be 1 to 64 letters",
                "name = \"edge\"|name = 5|1|name|= 5: must be 1 to 64 letters",
                "\"127.0.0.1:9000\"|\"localhost:9000\"|4|listeners[0].address|must be an IP address and a port",
                "\"127.0.0.1:9000\"|\"127.0.0.1:70000\"|4|listeners[0].address|= \"127.0.0.1:70000\": must be",
                "\"127.0.0.1:9000\"|\"127.0.0.1\"|4|listeners[0].address|must be an IP address and a port",
                "\"127.0.0.1:9000\"|9000|4|listeners[0].address|= 9000: must be an IP address",
                "\"127.0.0.1:9000\"|\"127.0.0.1:9001\"|6|admin.address|is already used by listeners[0].address",
                "[[listeners]]|[listeners]|3|listeners|must be 1 to 8 tables: [[listeners]]",
                "[admin]|[admins]|5|admins|unknown key",
                "[admin]|[[admin]]|5|admin|must be a table: [admin]",
                "id = \"a\"|id = \"b\"|11|endpoints[1].id|= \"b\": is used twice",
                "id = \"a\"|#|7|endpoints[0].id|: is missing; it must be 1 to 64 letters",
                "127.0.0.1:9102|127.0.0.1:9101|12|endpoints[1].address|is already used by endpoints[0].address",
                "127.0.0.1:9102|127.0.0.1:0|12|endpoints[1].address|a port from 1 to 65535",
                "zone = \"east\"|zone = \"north\"|13|endpoints[1].zone|is not one of fleet.zones, which are [east",
                "weight = 2|weight = 0|14|endpoints[1].weight|= 0: must be a number from 0.001 to 1000",
                "weight = 2|weight = \"2\"|14|endpoints[1].weight|= \"2\": must be a number",
                "weight = 2|state = \"asleep\"|14|endpoints[1].state|must be one of \"gone\", \"in-service\"",
                "[\"east\", \"west\"]|[]|16|fleet.zones|must be a list of 1 to 64 different names",
                "[\"east\", \"west\"]|[\"west\", \"west\"]|16|fleet.zones|must be a list of 1 to 64 different names",
                "own-zone = \"west\"|own-zone = \"w\"|17|fleet.own-zone|is not one of fleet.zones",
                "effect = \"repeatable\"|effect = \"safe\"|20|classes[0].effect|must be one of \"repeatable\"",
                "aim = \"1s\"|aim = \"1\"|21|classes[0].aim|= \"1\": must be a time with its unit (ms, s, m or h)",
                "aim = \"1s\"|aim = 1000|21|classes[0].aim|= 1000: must be a time with its unit",
                "aim = \"1s\"|aim = \"1 s\"|21|classes[0].aim|must be a time with its unit",
                "aim = \"1s\"|aim = \"3s\"|21|classes[0].aim|= \"3s\": is above the deadline of this class",
                "aim = \"1s\"|#|18|classes[0].aim|: is missing; it must be a time",
                "deadline = \"2.5s\"|deadline = \"2h\"|22|classes[0].deadline|from 1ms to 1h",
                "name = \"save\"|name = \"read\"|24|classes[1].name|is used twice",
                "effect = \"keyed\"|effect = \"once\"|26|classes[1].key-window|is allowed only with effect = \"keyed\"",
                "key-window = \"10s\"|#|23|classes[1].key-window|: is missing; a keyed class must have one",
                "worth = 3|late-worth = 3|29|classes[1].late-worth|is above the worth of this class",
                "rate = 5.5|rate = -1|32|tenants[0].rate|must be a number from 0 to 1000000",
                "rate = 5.5|#|30|tenants[0].rate|: is missing",
                "memory = \"64MiB\"|memory = \"64MB\"|34|limits.memory|must be a size with its unit (B, KiB",
                "memory = \"64MiB\"|memory = \"8MiB\"|34|limits.memory|from 32MiB to 64GiB",
                "memory = \"64MiB\"|memory = 64|34|limits.memory|= 64: must be a size",
                "descriptors = 256|descriptors = 10|35|limits.descriptors|must be a whole number from 96 to 1048576",
                "attempts = 2|connect-timeout = \"3s\"|36|limits.connect-timeout|is longer than the deadline",
                "attempts = 2|attempt = 2|36|limits.attempt|unknown key; [limits] allows memory, descriptors",
                "number = 3|number = 4|39|balancing.number|must be below balancing.balancers, which is 4",
                "level = \"info\"|level = \"loud\"|41|logging.level|must be one of \"debug\", \"info\"",
                "level = \"info\"|levels = {\"io.netty\" = \"info\"}|41|logging.levels|must be loggers",
                "level = \"info\"|format = \"xml\"|41|logging.format|must be one of \"plain\", \"text\", \"json\""
            })
    void reportsProblemWithLineKeyAndValue(
            String replaced, String replacement, int line, String key, String expectedMessage) throws IOException {
        assertTrue(VALID.contains(replaced), replaced);
        ConfigProblem first = problems(VALID.replaceFirst(
                        java.util.regex.Pattern.quote(replaced), java.util.regex.Matcher.quoteReplacement(replacement)))
                .get(0);
        assertEquals(line, first.line(), first.toString());
        assertEquals(key == null ? "" : key, first.key());
        assertTrue(first.toString().startsWith(folder.resolve("edge.toml") + ":" + line + ": "));
        assertTrue(first.toString().contains(expectedMessage), first.toString());
        ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
        assertEquals(
                Main.BAD_INPUT,
                Main.serve(folder.resolve("edge.toml"), new PrintStream(errorOutput, true, StandardCharsets.UTF_8)),
                "the program must not start");
        String message = errorOutput.toString(StandardCharsets.UTF_8);
        assertTrue(message.startsWith("lemonrail: " + first), message);
        assertEquals(1, message.lines().count(), message);
    }

    @Test
    void reportsAllProblemsAtOnce() throws IOException {
        List<ConfigProblem> all = problems(VALID.replace("seed = 7", "seed = -7")
                .replace("\"1s\"", "\"9s\"")
                .replace("worth = 3", "wort = 3")
                .replace("[limits]", "[limit]")
                .replace("rate = 5.5", ""));
        assertEquals(
                List.of("seed", "classes[0].aim", "classes[1].wort", "tenants[0].rate", "limit"),
                all.stream().map(ConfigProblem::key).toList());
        assertEquals(
                List.of(2, 21, 29, 30, 33),
                all.stream().map(ConfigProblem::line).toList());
    }

    @Test
    void reportsMissingRequiredTables() throws IOException {
        assertEquals(
                List.of("listeners", "endpoints", "classes"),
                problems("name = \"edge\"").stream().map(ConfigProblem::key).toList());
    }

    @Test
    void reportsMissingAndUnreadableFiles() throws IOException {
        TomlFile missing = new TomlFile(folder.resolve("none.toml"), Map.of());
        assertEquals(
                missing.file() + ": file not found",
                assertThrows(ConfigException.class, missing::load).getMessage());
        TomlFile invalidUtf8 = new TomlFile(Files.write(folder.resolve("x.toml"), new byte[] {'a', -1}), Map.of());
        assertEquals(
                invalidUtf8.file() + ": file is not valid UTF-8",
                assertThrows(ConfigException.class, invalidUtf8::load).getMessage());
    }

    /** Guards against wrong line numbers after values that span several lines or contain brackets and quotes. */
    @Test
    void reportsCorrectLineAfterMultilineValues() throws IOException {
        String text = VALID.replace("[\"east\", \"west\"]", "[ # [\n  \"east\", # \"]\n  \"west\"\n]")
                .replace("name = \"edge\"", "\"name\" = 'edge' # = [")
                .replace("worth = 3", "worth = -3");
        assertEquals(32, problems(text).get(0).line());
    }

    @Test
    void environmentOverridesFile() throws IOException {
        TomlFile file =
                new TomlFile(file(VALID), Map.of("LEMONRAIL_LIMITS_ATTEMPTS", "4", "LEMONRAIL_LOGGING_FORMAT", "json"));
        LoadedConfiguration loaded = file.load();
        assertEquals(4, loaded.config().settings().limits().maxAttempts());
        assertTrue(
                loaded.values()
                        .contains(new LoadedConfiguration.Value("logging.format", "\"json\"", "environment", false)),
                "" + loaded.values());
        assertTrue(loaded.values()
                .contains(new LoadedConfiguration.Value("limits.descriptors", "256", file.file() + ":35", false)));
        assertTrue(loaded.values().contains(new LoadedConfiguration.Value("drain.grace", "\"1s\"", "default", false)));
        TomlFile bad = new TomlFile(file.file(), Map.of("LEMONRAIL_LIMITS_ATTEMPTS", "many"));
        assertTrue(assertThrows(ConfigException.class, bad::load)
                .getMessage()
                .contains("LEMONRAIL_LIMITS_ATTEMPTS = \"many\": must be a whole number from 1 to 16"));
    }

    /**
     * Guards against a wait longer than the time within which a change must take effect. Such a wait would delay the
     * detection of a failed watch.
     */
    @Test
    void limitsDiscoveryWaitSoThatChangesTakeEffectInTime() throws IOException {
        String watched = VALID + "[discovery]\naddress = \"127.0.0.1:8500\"\nwait = \"WAIT\"\n";
        EdgeConfig longest = new TomlFile(file(watched.replace("WAIT", "3s")), Map.of())
                .load()
                .config();
        assertEquals(3000.0, longest.discoveryWaitMs());
        for (String wait : List.of("3001ms", "20s", "60s", "50ms")) {
            String message = problems(watched.replace("WAIT", wait)).toString();
            assertTrue(message.contains("wait") && message.contains(wait), message);
            assertTrue(message.contains("from 100ms to 3s"), message);
        }
    }
}
