package lemonrail.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.json.Json;

/** The file with a node's entries, in the JSON format that nodes exchange, and the time of the snapshot. */
final class SnapshotFile {

    private static final String PERSISTED_AT_FIELD = "kept_ms";

    private final Path file;

    SnapshotFile(Path file) {
        this.file = file;
    }

    /** Writes all entries and replaces the file atomically, so that readers see the old or the new content. */
    void write(ReplicatedStore store, long nowMs) throws IOException {
        String text = "{\"" + PERSISTED_AT_FIELD + "\":" + nowMs
                + ",\"heard\":" + Json.text(EntryCodec.encodeVersions(store.acknowledgedVersions()))
                + "," + EntryCodec.encodeEntries(store.allEntries()) + "}";
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.write(next, text.getBytes(StandardCharsets.UTF_8));
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Merges all entries into a store.
     *
     * @return the time of the snapshot in milliseconds of Unix time, 0 if the file has none, or empty if there is
     *     no file
     * @throws IllegalArgumentException if the content is invalid
     */
    OptionalLong read(ReplicatedStore store, long nowMs) throws IOException {
        if (!Files.exists(file)) {
            return OptionalLong.empty();
        }
        Map<?, ?> snapshot = EntryCodec.parseObject(Files.readAllBytes(file));
        List<VersionedEntry> entries = EntryCodec.decodeEntries(snapshot, problem -> {
            throw new IllegalArgumentException(file + ": " + problem);
        });
        store.mergeAll(nowMs, entries, EntryCodec.decodeVersions(snapshot), "");
        return OptionalLong.of(snapshot.get(PERSISTED_AT_FIELD) instanceof Double timeMs ? timeMs.longValue() : 0);
    }
}
