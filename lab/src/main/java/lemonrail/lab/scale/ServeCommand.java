package lemonrail.lab.scale;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The command by which the platform starts a sidecar, which serves by the file that GW_CONFIG names.
 *
 * @param words the command, word by word; {@code java} stands for the JVM of this process
 * @param folder in which the command is run
 */
public record ServeCommand(List<String> words, Path folder) {

    private static final String JAVA = "java";
    private static final String JAR = "-jar";
    private static final String CLASS_PATH = "-cp";
    private static final String ARCHIVE = "-XX:SharedArchiveFile=";

    /** Reads the command of a checkout, as its {@code deploy/balancer.toml} has it. */
    public static ServeCommand of(Path home) throws IOException {
        Path file = home.resolve("deploy").resolve("balancer.toml");
        String run = new TomlMapper().readTree(file.toFile()).path("run").asText();
        List<String> words = new ArrayList<>(Arrays.asList(run.trim().split(" +")));
        words.remove("exec");
        if (words.isEmpty() || !words.get(0).equals(JAVA) || !words.contains(JAR)) {
            throw new IOException(file + ": run is no call of java with a jar: " + run);
        }
        return new ServeCommand(List.copyOf(words), home);
    }

    /** The same JVM with another main class, from this process's own class path. */
    public ServeCommand withMainClass(String... call) {
        int flags = words.contains(JAR) ? words.indexOf(JAR) : words.indexOf(CLASS_PATH);
        List<String> other = new ArrayList<>(words.subList(0, flags));
        other.removeIf(word -> word.startsWith(ARCHIVE));
        other.addAll(List.of(CLASS_PATH, System.getProperty("java.class.path")));
        other.addAll(List.of(call));
        return new ServeCommand(other, folder);
    }

    /** The command with these further arguments, as a process that has not been started. */
    public ProcessBuilder builder(String... arguments) {
        List<String> line = new ArrayList<>(words);
        if (line.get(0).equals(JAVA)) {
            line.set(0, Path.of(System.getProperty("java.home"), "bin", JAVA).toString());
        }
        line.addAll(List.of(arguments));
        return new ProcessBuilder(line).directory(folder.toFile());
    }
}
