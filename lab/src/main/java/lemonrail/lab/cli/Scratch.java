package lemonrail.lab.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** A temporary folder that is gone with all that is in it when it is closed. */
public record Scratch(Path path) implements AutoCloseable {

    /** A new one. */
    public Scratch() throws IOException {
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
