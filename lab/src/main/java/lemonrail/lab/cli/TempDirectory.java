package lemonrail.lab.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** A temporary directory, which is deleted with its contents on close. */
public record TempDirectory(Path path) implements AutoCloseable {

    /** Creates a new temporary directory. */
    public TempDirectory() throws IOException {
        this(Files.createTempDirectory("lemonrail-lab"));
    }

    @Override
    public void close() throws IOException {
        try (Stream<Path> files = Files.walk(path)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
