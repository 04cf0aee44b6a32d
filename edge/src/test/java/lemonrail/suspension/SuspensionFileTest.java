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
 * The stored form of suspensions. The resource {@code stored/n0.suspended} was written by the code of commit
 * 54f0243, after s1, s0 and quote-7.b had been suspended and s0 resumed.
 */
class SuspensionFileTest {

    private static final List<String> FORMER_IDS = List.of("s1", "quote-7.b");

    @TempDir
    Path folder;

    private Path formerFile() throws IOException {
        Path file = folder.resolve("n0.suspended");
        try (InputStream resource = getClass().getResourceAsStream("/stored/n0.suspended")) {
            Files.copy(resource, file);
        }
        return file;
    }

    @Test
    void aFileOfTheFormerVersionIsRead() throws IOException {
        assertEquals(FORMER_IDS, List.copyOf(new SuspensionFile(formerFile()).readIds()));
    }

    /** Guards against a stored form that the former version, or a sidecar's other process, could not read. */
    @Test
    void theStoredFormIsUnchanged() throws IOException {
        Path file = formerFile();
        byte[] former = Files.readAllBytes(file);
        SuspensionFile suspensions = new SuspensionFile(file);
        suspensions.update(ids -> ids.add("s0"));
        suspensions.update(ids -> ids.remove("s0"));
        assertArrayEquals(former, Files.readAllBytes(file));
    }
}
