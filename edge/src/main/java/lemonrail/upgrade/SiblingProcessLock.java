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
 * Detects whether another process of the same sidecar is alive, as is the case during an upgrade. Each process locks
 * one byte of a shared file. The operating system releases the lock when the process ends for any reason, so the lock
 * cannot become stale, unlike a process id in a file.
 */
public final class SiblingProcessLock implements Closeable {

    /** The number of bytes that can be locked, one for each process; an upgrade needs two. */
    private static final int MAX_PROCESSES = 8;

    private static final int NO_INDEX = -1;

    private final EventLog log;
    private FileChannel channel;
    /** The index of the byte that this process has locked, or {@link #NO_INDEX}. */
    private int ownIndex = NO_INDEX;

    /** Locks a byte of the file, which is created if it does not exist. If this fails, no other process is detected. */
    public SiblingProcessLock(Path file, EventLog log) {
        this.log = log.forComponent("upgrade");
        try {
            channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            ownIndex = lockFirstFreeByte();
        } catch (IOException e) {
            logFailure(e);
        }
    }

    private int lockFirstFreeByte() throws IOException {
        for (int index = 0; index < MAX_PROCESSES; index++) {
            if (tryLock(index) != null) {
                return index;
            }
        }
        return NO_INDEX;
    }

    /** Returns the lock on the byte with this index, or null if it is locked already. */
    private FileLock tryLock(int index) throws IOException {
        try {
            return channel.tryLock(index, 1, false);
        } catch (OverlappingFileLockException e) {
            // The byte is locked by this process, for example by another sidecar in a test.
            return null;
        }
    }

    /** Returns whether another process of this sidecar is alive; false if that cannot be determined. */
    public boolean hasSibling() {
        if (ownIndex == NO_INDEX) {
            return false;
        }
        try {
            for (int index = 0; index < MAX_PROCESSES; index++) {
                if (index != ownIndex && isLockedElsewhere(index)) {
                    return true;
                }
            }
        } catch (IOException e) {
            logFailure(e);
        }
        return false;
    }

    private boolean isLockedElsewhere(int index) throws IOException {
        FileLock probe = tryLock(index);
        if (probe == null) {
            return true;
        }
        probe.release();
        return false;
    }

    private void logFailure(IOException cause) {
        log.warnRateLimited("sibling_lock_failed", "cannot detect other processes of this sidecar", cause);
    }

    /** Releases the lock. */
    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
