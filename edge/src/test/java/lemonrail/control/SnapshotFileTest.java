package lemonrail.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.OptionalLong;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.ReplicatedStore.Bounds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the file format of a control node's snapshot. The resource {@code stored/w1.control} was written by the code of
 * commit 54f0243, in which the class had the name {@code StateFile}. It has endpoints, among them a removed one, one of
 * another node and a backdated one, and two settings documents, of which one is removed.
 */
class SnapshotFileTest {

    private static final long WRITTEN_AT_MS = 1_790_000_000_010L;
    /** Digest of all live entries, as calculated by the version that wrote the file. */
    private static final long EARLIER_VERSION_DIGEST = -3_765_066_558_944_845_732L;

    @TempDir
    Path folder;

    private final ReplicatedStore store = new ReplicatedStore("w1", Bounds.DEFAULT, WRITTEN_AT_MS + 1000);

    private Path earlierVersionSnapshot() throws IOException {
        Path file = folder.resolve("w1.control");
        try (InputStream resource = getClass().getResourceAsStream("/stored/w1.control")) {
            Files.copy(resource, file);
        }
        return file;
    }

    @Test
    void snapshotOfAnEarlierVersionIsLoaded() throws IOException {
        OptionalLong writtenAtMs = new SnapshotFile(earlierVersionSnapshot()).read(store, WRITTEN_AT_MS + 1000);
        assertEquals(OptionalLong.of(WRITTEN_AT_MS), writtenAtMs);
        assertEquals(5, store.liveCount());
        assertEquals(2, store.tombstoneCount());
        assertEquals(EARLIER_VERSION_DIGEST, store.digest(store.topics()));
        assertEquals(
                "{\"id\":\"s1\",\"addr\":\"10.0.0.1:9000\",\"zone\":\"a\",\"kind\":\"m2\",\"cell\":3,"
                        + "\"state\":\"in_service\",\"weight\":2.5,\"started_ms\":1789999000000}",
                store.get("quote", "s1").body());
        assertTrue(store.get("quote", "s2").body().contains("terminating"));
        assertTrue(store.get("price", "p1").removed());
        assertEquals("w1~", store.get("quote", "s4").timestamp().origin());
        assertEquals(
                "[[classes]]\nname = \"read\"\naim = \"450ms\"\n",
                store.get("settings:base", "base").body());
        assertTrue(store.get("settings:old", "old").removed());
        assertEquals(
                Map.of(
                        "e1", new HybridTimestamp(1_790_000_000_007L, 4, "e1"),
                        "w1", new HybridTimestamp(1_790_000_000_006L, 0, "w1")),
                store.acknowledgedVersions());
    }

    /** Guards against a file format that an earlier version cannot read after a downgrade. */
    @Test
    void fileFormatIsUnchanged() throws IOException {
        Path file = earlierVersionSnapshot();
        byte[] original = Files.readAllBytes(file);
        SnapshotFile snapshot = new SnapshotFile(file);
        snapshot.read(store, WRITTEN_AT_MS + 1000);
        snapshot.write(store, WRITTEN_AT_MS);
        assertArrayEquals(original, Files.readAllBytes(file));
    }

    @Test
    void missingFileLoadsNothing() throws IOException {
        SnapshotFile snapshot = new SnapshotFile(folder.resolve("w2.control"));
        assertEquals(OptionalLong.empty(), snapshot.read(store, WRITTEN_AT_MS));
        assertEquals(0, store.liveCount());
    }
}
