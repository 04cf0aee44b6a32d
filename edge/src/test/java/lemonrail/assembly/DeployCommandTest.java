package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The commands of the deploy file, with a class data sharing archive that does not fit the program. */
@Timeout(60)
class DeployCommandTest {

    private static final Path DEPLOY = Path.of("..", "deploy", "balancer.toml");
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
        List<String> start = new ArrayList<>(List.of(JAVA));
        start.addAll(flags(key, createArchive()));
        start.addAll(List.of("-cp", System.getProperty("java.class.path"), "lemonrail.cli.Main", "simulator"));
        Path errors = folder.resolve("errors");
        Process process =
                new ProcessBuilder(start).redirectError(errors.toFile()).start();
        try (OutputStream batches = process.getOutputStream()) {
            batches.write(EMPTY_BATCH.getBytes(StandardCharsets.UTF_8));
        }
        String replies = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor());
        assertTrue(replies.startsWith("{") && replies.lines().count() == 1, replies);
        assertTrue(Files.readString(errors).contains(ARCHIVE_WARNING), "the archive does not fit");
    }

    /** Returns the JVM flags of a command of the deploy file, with another archive. */
    private static List<String> flags(String key, Path archive) throws IOException {
        Matcher command =
                Pattern.compile("(?m)^" + key + " = \"exec java (.*) -jar ").matcher(Files.readString(DEPLOY));
        assertTrue(command.find(), "deploy/balancer.toml contains the command " + key);
        return List.of(command.group(1)
                .replaceAll("-XX:SharedArchiveFile=\\S+", "-XX:SharedArchiveFile=" + archive)
                .split(" "));
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
