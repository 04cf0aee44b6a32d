package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lemonrail.config.EdgeConfig;
import lemonrail.config.PlatformFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The platform's JSON configuration file: valid files are read, and errors name the field and its value. */
class PlatformFileTest {

    @TempDir
    Path folder;

    private EdgeConfig read(String original, String replacement) throws IOException {
        try (StubEndpoint endpoint = StubEndpoint.respondingWith(200, "", "");
                SidecarFixture fixture = new SidecarFixture(endpoint)) {
            assertTrue(fixture.config().contains(original), original);
            return new PlatformFile(
                            Files.writeString(
                                    folder.resolve("config.json"),
                                    fixture.config().replace(original, replacement)),
                            Map.of())
                    .load()
                    .config();
        }
    }

    @Test
    void readsAllFields() throws IOException {
        EdgeConfig config = read("", "");
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(1024, config.maxDescriptors());
        assertEquals(15_000, config.idleCloseMs());
        assertEquals(1, config.initialEndpoints().version());
        assertEquals("s0", config.initialEndpoints().entries().get(0).endpoint().id());
        assertEquals(2, config.settings().classes().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"listen\":\"127.0.0.1:0\",||listen is missing",
                "127.0.0.1:0|localhost:0|listen is invalid: localhost:0",
                "127.0.0.1:0|127.0.0.1:70000|listen is invalid: 127.0.0.1:70000",
                "8c1f30d27a5be964|zz|seed is invalid: zz",
                "\"sockets\":1024|\"sockets\":-1|limits.sockets is invalid: -1",
                "in_service|asleep|servers[].state is invalid: asleep",
                "\"idle-close-ms\":15000|\"idle-close-ms\":0|settings.limits.idle-close-ms is invalid: 0",
                "\"dial-timeout-ms\":2000,||settings.limits.dial-timeout-ms is missing",
                "\"effect\":\"once\"|\"effect\":\"twice\"|effect has an unknown value: twice",
                "\"azs\":[\"a\"]|\"azs\":5|settings.azs is invalid: 5"
            })
    void reportsMissingAndInvalidFields(String original, String replacement, String message) {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> read(original, replacement == null ? "" : replacement));
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }

    @Test
    void reportsInvalidJson() throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), "{\"name\":");
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> new PlatformFile(file, Map.of()).load());
        assertTrue(e.getMessage().contains(file + ":1: invalid JSON"), e.getMessage());
    }
}
