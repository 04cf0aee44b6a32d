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
 * Guards against string concatenations that the JVM links at their first use. For each form of concatenation it
 * generates a dozen classes on the event loop, and the class archive does not contain them.
 */
class StringConcatenationTest {

    private static final String LINKED_CONCATENATION = "makeConcatWithConstants";

    @Test
    void noStringConcatenationIsLinkedAtRunTime() throws Exception {
        for (Class<?> anchor : List.of(Main.class, LoadBalancer.class)) {
            Path codeSource = Path.of(
                    anchor.getProtectionDomain().getCodeSource().getLocation().toURI());
            if (Files.isDirectory(codeSource)) {
                assertNoLinkedConcatenation(codeSource);
            } else {
                try (FileSystem jar = FileSystems.newFileSystem(codeSource)) {
                    assertNoLinkedConcatenation(jar.getPath("/"));
                }
            }
        }
    }

    /** Checks all class files below a root folder. */
    private static void assertNoLinkedConcatenation(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            List<Path> classes =
                    files.filter(file -> file.toString().endsWith(".class")).toList();
            assertFalse(classes.isEmpty(), () -> "no class files in " + root);
            assertEquals(
                    List.of(),
                    classes.stream()
                            .filter(StringConcatenationTest::hasLinkedConcatenation)
                            .toList());
        }
    }

    private static boolean hasLinkedConcatenation(Path file) {
        try {
            return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1).contains(LINKED_CONCATENATION);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
