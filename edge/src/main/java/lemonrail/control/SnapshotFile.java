package lemonrail.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.json.Json;

/** What a node knows, kept for its next start, in the form in which nodes tell each other. */
final class SnapshotFile {

    private final Path file;

    SnapshotFile(Path file) {
        this.file = file;
    }

    /** Writes all that is known; a reader finds the old file or the new one. */
    void write(ReplicatedStore state, long nowMs) throws IOException {
        Map<String, Object> heard = new LinkedHashMap<>();
        for (Map.Entry<String, HybridTimestamp> entry :
                state.acknowledgedVersions().entrySet()) {
            heard.put(entry.getKey(), entry.getValue().encode());
        }
        String text = "{\"kept_ms\":" + nowMs + ",\"heard\":" + Json.text(heard) + ","
                + EntryCodec.lists(state.allEntries()) + "}";
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.write(next, text.getBytes(StandardCharsets.UTF_8));
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Takes in what was kept, and tells when; below 0 if there is nothing. A bad file is an exception. */
    long read(ReplicatedStore state, long nowMs) throws IOException {
        if (!Files.exists(file)) {
            return -1;
        }
        Map<?, ?> kept = EntryCodec.object(Files.readAllBytes(file));
        List<VersionedEntry> items = EntryCodec.items(kept, why -> {
            throw new IllegalArgumentException(file + ": " + why);
        });
        state.mergeAll(nowMs, items, EntryCodec.heard(kept), "");
        return kept.get("kept_ms") instanceof Double ms ? ms.longValue() : 0;
    }
}
