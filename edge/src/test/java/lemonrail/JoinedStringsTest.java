package lemonrail;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import lemonrail.cli.Main;
import lemonrail.core.balancer.LoadBalancer;
import org.junit.jupiter.api.Test;

/**
 * Guards against joins of strings that are linked at their first use: the JVM makes a dozen classes for each
 * form of one, on the event loop, and these are in no class archive.
 */
class JoinedStringsTest {

    private static final String LINKED = "makeConcatWithConstants";

    @Test
    void noJoinOfStringsIsLinkedWhileTheProgramRuns() throws Exception {
        for (Class<?> one : List.of(Main.class, LoadBalancer.class)) {
            Path place = Path.of(
                    one.getProtectionDomain().getCodeSource().getLocation().toURI());
            if (Files.isDirectory(place)) {
                look(place);
            } else {
                try (FileSystem jar = FileSystems.newFileSystem(place)) {
                    look(jar.getPath("/"));
                }
            }
        }
    }

    /** Looks at all classes that were compiled together. */
    private static void look(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            List<Path> classes =
                    files.filter(file -> file.toString().endsWith(".class")).toList();
            assertFalse(classes.isEmpty(), () -> "no class in " + root);
            assertEquals(
                    List.of(), classes.stream().filter(JoinedStringsTest::links).toList());
        }
    }

    private static boolean links(Path file) {
        try {
            return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1).contains(LINKED);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
