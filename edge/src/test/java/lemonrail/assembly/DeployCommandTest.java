package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The commands of the deploy file, with a class data sharing archive that does not fit the program. */
@Timeout(60)
class DeployCommandTest {

    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final String EMPTY_BATCH = "{\"wall-ms\":4000,\"batch\":0,\"parts\":[]}\n";
    /** The start of the JVM's warning about an archive that it cannot use. */
    private static final String ARCHIVE_WARNING = "Unable to use shared archive";

    @TempDir
    Path folder;

    /** A program that does nothing, whose archive fits no other program. */
    static final class EmptyProgram {
        private EmptyProgram() {}

        public static void main(String[] arguments) {}
    }

    /** Guards against warnings of the JVM on standard output, where they would break the simulator's messages. */
    @ParameterizedTest
    @ValueSource(strings = {"sim", "run"})
    void warningsOfTheJvmGoToStandardError(String key) throws Exception {
        String command = DeployedSidecar.command(key, "-XX:SharedArchiveFile=" + createArchive())
                .replaceFirst("(serve|benchlink)$", "simulator");
        Path errors = folder.resolve("errors");
        Process process =
                DeployedSidecar.shell(command).redirectError(errors.toFile()).start();
        try (OutputStream batches = process.getOutputStream()) {
            batches.write(EMPTY_BATCH.getBytes(StandardCharsets.UTF_8));
        }
        String replies = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor());
        assertTrue(replies.startsWith("{") && replies.lines().count() == 1, replies);
        assertTrue(Files.readString(errors).contains(ARCHIVE_WARNING), "the archive does not fit");
    }

    private Path createArchive() throws IOException, InterruptedException {
        Path jar = folder.resolve("empty.jar");
        String entry = EmptyProgram.class.getName().replace('.', '/') + ".class";
        try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar));
                InputStream program = EmptyProgram.class.getClassLoader().getResourceAsStream(entry)) {
            out.putNextEntry(new JarEntry(entry));
            program.transferTo(out);
        }
        Path archive = folder.resolve("empty.jsa");
        Process dump = new ProcessBuilder(
                        JAVA,
                        "-XX:+UseSerialGC",
                        "-XX:ArchiveClassesAtExit=" + archive,
                        "-cp",
                        jar.toString(),
                        EmptyProgram.class.getName())
                .redirectErrorStream(true)
                .start();
        dump.getInputStream().readAllBytes();
        assertEquals(0, dump.waitFor());
        return archive;
    }
}
