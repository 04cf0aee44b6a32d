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
 * The file with the ids of suspended endpoints, one per line, between a header and a footer. The footer has the
 * number of ids, so that a truncated file is detected. The file is always replaced by a rename. A lock file prevents
 * two processes of the same sidecar that run at once from overwriting each other's changes.
 */
final class SuspensionFile {

    private static final String HEADER = "suspended endpoints";
    private static final String FOOTER = "in all: ";
    private static final int HEADER_AND_FOOTER_LINES = 2;

    /** Thrown if the header, the footer or the number of ids is wrong. */
    static final class DamagedException extends IOException {
        private static final long serialVersionUID = 1;

        DamagedException(String message) {
            super(message);
        }
    }

    /** Identifies the content of the file; differs after each change. */
    record FileVersion(Object fileKey, long modifiedMs, long bytes) {
        static final FileVersion ABSENT = new FileVersion(null, 0, 0);
    }

    private final Path file;
    private final Path lockFile;
    private final Path newFile;

    SuspensionFile(Path file) {
        this.file = file;
        lockFile = file.resolveSibling(file.getFileName() + ".lock");
        newFile = file.resolveSibling(file.getFileName() + ".new");
    }

    FileVersion version() throws IOException {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new FileVersion(
                    attributes.fileKey(), attributes.lastModifiedTime().toMillis(), attributes.size());
        } catch (NoSuchFileException e) {
            return FileVersion.ABSENT;
        }
    }

    /**
     * Returns the ids in the file, or an empty set if there is no file.
     *
     * @throws DamagedException if the header, the footer or the number of ids is wrong
     */
    Set<String> readIds() throws IOException {
        List<String> lines;
        try {
            lines = new String(Files.readAllBytes(file), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        } catch (NoSuchFileException e) {
            return Set.of();
        }
        int idCount = lines.size() - HEADER_AND_FOOTER_LINES;
        if (idCount < 0
                || !lines.get(0).equals(HEADER)
                || !lines.get(idCount + 1).equals(FOOTER + idCount)) {
            throw new DamagedException(file + " is damaged: header, footer or number of ids is wrong");
        }
        return new LinkedHashSet<>(lines.subList(1, idCount + 1));
    }

    /** Changes the ids and writes them under the lock, and returns the new ids. A damaged file counts as empty. */
    Set<String> update(Consumer<Set<String>> change) throws IOException {
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            Set<String> ids = readIdsOrNone();
            change.accept(ids);
            write(ids);
            return ids;
        }
    }

    private Set<String> readIdsOrNone() throws IOException {
        try {
            return new LinkedHashSet<>(readIds());
        } catch (DamagedException e) {
            return new LinkedHashSet<>();
        }
    }

    private void write(Set<String> ids) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(HEADER);
        lines.addAll(ids);
        lines.add(FOOTER + ids.size());
        Files.write(newFile, lines);
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
