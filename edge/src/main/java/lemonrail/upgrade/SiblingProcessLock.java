package lemonrail.upgrade;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import lemonrail.logging.EventLog;

/**
 * Tells whether another process of the same sidecar runs beside this one, as during an upgrade: each holds a
 * lock on a byte of one file. The system gives a lock back when its process ends in whatever way, so nothing
 * stale is ever believed, which a file with a process id in it could not promise.
 */
public final class SiblingProcessLock implements Closeable {

    /** Processes that can be told apart; an upgrade has two. */
    private static final int MOST_PROCESSES = 8;

    private final EventLog log;
    private FileChannel channel;
    private int own = -1;

    /** Takes this process's place in the file; where that fails, the process counts as alone. */
    public SiblingProcessLock(Path places, EventLog log) {
        this.log = log.in("upgrade");
        try {
            channel = FileChannel.open(places, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            for (int i = 0; i < MOST_PROCESSES && own < 0; i++) {
                own = lock(i) == null ? -1 : i;
            }
        } catch (IOException e) {
            log.trouble("presence_unknown", "cannot tell of other processes of this sidecar", e);
        }
    }

    private FileLock lock(int place) throws IOException {
        try {
            return channel.tryLock(place, 1, false);
        } catch (OverlappingFileLockException e) {
            // Held within this process, as by another sidecar of a test.
            return null;
        }
    }

    /** Whether another process of this sidecar is alive. */
    public boolean hasSibling() {
        if (own < 0) {
            return false;
        }
        try {
            for (int i = 0; i < MOST_PROCESSES; i++) {
                FileLock probe = i == own ? null : lock(i);
                if (i != own && probe == null) {
                    return true;
                }
                if (probe != null) {
                    probe.release();
                }
            }
        } catch (IOException e) {
            log.trouble("presence_unknown", "cannot tell of other processes of this sidecar", e);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
