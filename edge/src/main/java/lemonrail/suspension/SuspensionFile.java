package lemonrail.suspension;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The suspended endpoints on disk, one a line, between a first line that says what it is and a last one that
 * counts them, so that half a file is known for one. It is always replaced whole, by a rename; the lock
 * beside it keeps two processes of one sidecar from undoing each other's words.
 */
final class SuspensionFile {

    private static final String FIRST = "suspended endpoints";
    private static final String LAST = "in all: ";

    /** What the file says is not to be trusted. */
    static final class DamagedException extends IOException {
        private static final long serialVersionUID = 1;

        DamagedException(String why) {
            super(why);
        }
    }

    /** Which writing of the file it is; another one has another stamp. */
    record Stamp(Object key, long modified, long bytes) {
        static final Stamp ABSENT = new Stamp(null, 0, 0);
    }

    private final Path file;
    private final Path lock;
    private final Path fresh;

    SuspensionFile(Path file) {
        this.file = file;
        lock = file.resolveSibling(file.getFileName() + ".lock");
        fresh = file.resolveSibling(file.getFileName() + ".new");
    }

    Stamp stamp() throws IOException {
        try {
            BasicFileAttributes now = Files.readAttributes(file, BasicFileAttributes.class);
            return new Stamp(now.fileKey(), now.lastModifiedTime().toMillis(), now.size());
        } catch (NoSuchFileException e) {
            return Stamp.ABSENT;
        }
    }

    Set<String> read() throws IOException {
        List<String> lines;
        try {
            lines = new String(Files.readAllBytes(file), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        } catch (NoSuchFileException e) {
            return Set.of();
        }
        int ids = lines.size() - 2;
        if (ids < 0 || !lines.get(0).equals(FIRST) || !lines.get(ids + 1).equals(LAST + ids)) {
            throw new DamagedException(file + " is damaged");
        }
        return new LinkedHashSet<>(lines.subList(1, ids + 1));
    }

    /** Changes what the file holds now, whoever wrote it; returns what it holds then. */
    Set<String> change(Consumer<Set<String>> change) throws IOException {
        try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock held = channel.lock()) {
            Set<String> ids;
            try {
                ids = new LinkedHashSet<>(read());
            } catch (DamagedException e) {
                ids = new LinkedHashSet<>();
            }
            change.accept(ids);
            List<String> lines = new ArrayList<>();
            lines.add(FIRST);
            lines.addAll(ids);
            lines.add(LAST + ids.size());
            Files.write(fresh, lines);
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            return ids;
        }
    }
}
