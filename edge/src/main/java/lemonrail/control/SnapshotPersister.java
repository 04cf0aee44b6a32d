package lemonrail.control;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalLong;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/** Loads the snapshot at the start and persists it when the store has changed. Belongs to the event loop. */
final class SnapshotPersister {

    /** An unchanged store is persisted this often: the snapshot's time tells how old the data is. */
    private static final int REFRESH_INTERVAL_MS = 60_000;

    private final SnapshotFile file;
    private final ReplicatedStore store;
    private final Clock clock;
    private final EventLog log;
    private boolean changed;
    private boolean loaded;
    private long persistedAtMs;
    private long dataTimeMs;

    /**
     * Creates a persister.
     *
     * @param path the snapshot, or null to persist nothing
     * @param startedAtMs the start of the node
     */
    SnapshotPersister(Path path, ReplicatedStore store, Clock clock, EventLog log, long startedAtMs) {
        dataTimeMs = startedAtMs;
        file = path == null ? null : new SnapshotFile(path);
        this.store = store;
        this.clock = clock;
        this.log = log;
    }

    boolean isEnabled() {
        return file != null;
    }

    /** Returns whether the store started from a snapshot. */
    boolean isLoaded() {
        return loaded;
    }

    /** Marks the store as changed since the last snapshot. */
    void onStoreChanged() {
        changed = true;
    }

    /** Returns the time of the data that the node started with: the snapshot's, else its own start. */
    long dataTimeMs() {
        return dataTimeMs;
    }

    /**
     * Merges the snapshot into the store.
     *
     * @return whether there is one
     * @throws IOException if it cannot be read
     * @throws IllegalArgumentException if its content is invalid
     */
    boolean load() throws IOException {
        OptionalLong snapshotTimeMs = file.read(store, nowMs());
        if (snapshotTimeMs.isEmpty()) {
            return false;
        }
        dataTimeMs = snapshotTimeMs.getAsLong();
        loaded = true;
        long ageSeconds = (nowMs() - dataTimeMs) / 1000;
        log.info(
                "snapshot_loaded",
                "the snapshot has " + store.liveCount() + " entries and is " + ageSeconds + " s old");
        return true;
    }

    /** Writes a snapshot if the store is ready and has changed, or the last snapshot is too old. */
    void persistIfDue() {
        if (file == null || !store.isReady()) {
            return;
        }
        if (!changed && nowMs() - persistedAtMs < REFRESH_INTERVAL_MS) {
            return;
        }
        try {
            file.write(store, nowMs());
            changed = false;
            persistedAtMs = nowMs();
        } catch (IOException e) {
            log.warnRateLimited("snapshot_failed", "the snapshot was not written", e.getMessage());
        }
    }

    private long nowMs() {
        return (long) clock.now();
    }
}
