package lemonrail.suspension;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the file format of suspensions. The resource {@code stored/n0.suspended} was written by the code of commit
 * 54f0243, after s1, s0 and quote-7.b had been suspended and s0 resumed.
 */
class SuspensionFileTest {

    private static final List<String> SUSPENDED_IDS = List.of("s1", "quote-7.b");

    @TempDir
    Path folder;

    private Path earlierVersionFile() throws IOException {
        Path file = folder.resolve("n0.suspended");
        try (InputStream resource = getClass().getResourceAsStream("/stored/n0.suspended")) {
            Files.copy(resource, file);
        }
        return file;
    }

    @Test
    void fileOfAnEarlierVersionIsRead() throws IOException {
        assertEquals(SUSPENDED_IDS, List.copyOf(new SuspensionFile(earlierVersionFile()).readIds()));
    }

    /** Guards against a file format that an earlier version, or the sidecar's other process, cannot read. */
    @Test
    void fileFormatIsUnchanged() throws IOException {
        Path file = earlierVersionFile();
        byte[] original = Files.readAllBytes(file);
        SuspensionFile suspensions = new SuspensionFile(file);
        suspensions.update(ids -> ids.add("s0"));
        suspensions.update(ids -> ids.remove("s0"));
        assertArrayEquals(original, Files.readAllBytes(file));
    }
}
