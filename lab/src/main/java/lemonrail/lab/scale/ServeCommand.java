package lemonrail.lab.scale;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The command with which the platform starts a sidecar. The environment variable GW_CONFIG names the sidecar's
 * settings file.
 *
 * @param command the command and its arguments; {@code java} stands for the JVM of this process
 * @param workingDirectory the directory in which the command is run
 */
public record ServeCommand(List<String> command, Path workingDirectory) {

    private static final String JAVA = "java";
    private static final String JAR = "-jar";
    private static final String CLASS_PATH = "-cp";
    private static final String SHARED_ARCHIVE = "-XX:SharedArchiveFile=";

    /**
     * Reads the command of a checkout from its {@code deploy/balancer.toml}.
     *
     * @throws IOException if the command does not run a jar with java
     */
    public static ServeCommand of(Path home) throws IOException {
        Path file = home.resolve("deploy").resolve("balancer.toml");
        String run = new TomlMapper().readTree(file.toFile()).path("run").asText();
        List<String> command = new ArrayList<>(Arrays.asList(run.trim().split(" +")));
        command.remove("exec");
        if (command.isEmpty() || !command.get(0).equals(JAVA) || !command.contains(JAR)) {
            throw new IOException(file + ": \"run\" does not run a jar with java: " + run);
        }
        return new ServeCommand(List.copyOf(command), home);
    }

    /**
     * Returns a command with the same JVM options that runs another main class from the class path of this process.
     *
     * @param call the main class and its arguments
     */
    public ServeCommand withMainClass(String... call) {
        int optionCount = command.contains(JAR) ? command.indexOf(JAR) : command.indexOf(CLASS_PATH);
        List<String> otherCommand = new ArrayList<>(command.subList(0, optionCount));
        otherCommand.removeIf(option -> option.startsWith(SHARED_ARCHIVE));
        otherCommand.addAll(List.of(CLASS_PATH, System.getProperty("java.class.path")));
        otherCommand.addAll(List.of(call));
        return new ServeCommand(otherCommand, workingDirectory);
    }

    /** Returns a builder for a process that runs the command with further arguments. */
    public ProcessBuilder builder(String... arguments) {
        List<String> fullCommand = new ArrayList<>(command);
        if (fullCommand.get(0).equals(JAVA)) {
            fullCommand.set(
                    0, Path.of(System.getProperty("java.home"), "bin", JAVA).toString());
        }
        fullCommand.addAll(List.of(arguments));
        return new ProcessBuilder(fullCommand).directory(workingDirectory.toFile());
    }
}
