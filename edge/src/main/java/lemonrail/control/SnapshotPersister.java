package lemonrail.control;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalLong;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/** Loads the snapshot when the node starts, and persists the store when it has changed. Belongs to the event loop. */
final class SnapshotPersister {

    /** The interval at which an unchanged store is persisted, because the snapshot's time tells how old its data is. */
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
     * @param path the path of the snapshot, or null to persist nothing
     * @param startedAtMs the start time of the node, in milliseconds of Unix time
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

    /** Returns the time of the data that the node started with: of the loaded snapshot, or else of the node's start. */
    long dataTimeMs() {
        return dataTimeMs;
    }

    /**
     * Merges the snapshot into the store; to be called only if persistence is enabled.
     *
     * @return whether there is a snapshot
     * @throws IOException if the snapshot cannot be read
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
                "loaded a snapshot with " + store.liveCount() + " entries, written " + ageSeconds + " s ago");
        return true;
    }

    /** Writes a snapshot if the store is ready and either has changed or its last snapshot is due for a refresh. */
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
            log.warnRateLimited("snapshot_failed", "failed to write the snapshot", e.getMessage());
        }
    }

    private long nowMs() {
        return (long) clock.now();
    }
}
