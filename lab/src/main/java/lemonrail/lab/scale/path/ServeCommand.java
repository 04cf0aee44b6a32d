package lemonrail.lab.scale.path;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The command by which the platform starts a sidecar, as {@code deploy/balancer.toml} has it, word by word.
 *
 * @param home the checkout, in which the command is run
 * @param words the command, {@code java} first
 */
record ServeCommand(Path home, List<String> words) {

    private static final String JAR = "-jar";
    private static final String CLASS_PATH = "-cp";
    private static final String ARCHIVE = "-XX:SharedArchiveFile=";

    /** Reads the command of a checkout. */
    static ServeCommand of(Path home) throws IOException {
        Path file = home.resolve("deploy").resolve("balancer.toml");
        String run = new TomlMapper().readTree(file.toFile()).path("run").asText();
        List<String> words = new ArrayList<>(Arrays.asList(run.trim().split(" +")));
        words.remove("exec");
        if (words.isEmpty() || !words.get(0).equals("java") || !words.contains(JAR)) {
            throw new IOException(file + ": run is no call of java with a jar: " + run);
        }
        return new ServeCommand(home, List.copyOf(words));
    }

    /** The same JVM with another main class, from this process's own class path. */
    ServeCommand main(String... call) {
        int flags = words.contains(JAR) ? words.indexOf(JAR) : words.indexOf(CLASS_PATH);
        List<String> other = new ArrayList<>(words.subList(0, flags));
        other.removeIf(word -> word.startsWith(ARCHIVE));
        other.addAll(List.of(CLASS_PATH, System.getProperty("java.class.path")));
        other.addAll(List.of(call));
        return new ServeCommand(home, other);
    }

    /** The command as a process that has not been started. */
    ProcessBuilder builder() {
        List<String> line = new ArrayList<>(words);
        line.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        return new ProcessBuilder(line).directory(home.toFile());
    }
}
