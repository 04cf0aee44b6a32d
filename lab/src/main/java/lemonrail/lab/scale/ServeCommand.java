package lemonrail.lab.scale;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The command with which the platform starts a sidecar. The environment variable GW_CONFIG names the sidecar's
 * settings file.
 *
 * @param setup what the shell runs before the command, to set the variables in it; empty to run it without a shell
 * @param command the command and its arguments; {@code java} stands for the JVM of this process
 * @param workingDirectory the directory in which the command is run
 */
public record ServeCommand(String setup, List<String> command, Path workingDirectory) {

    private static final String COMMAND_SEPARATOR = "; ";
    private static final String VARIABLE = "$";
    private static final String JAVA = "java";
    private static final String JAR = "-jar";
    private static final String CLASS_PATH = "-cp";
    private static final String SHARED_ARCHIVE = "-XX:SharedArchiveFile=";

    /** Creates a command that is run without a shell. */
    public ServeCommand(List<String> command, Path workingDirectory) {
        this("", command, workingDirectory);
    }

    /**
     * Reads the command of a checkout from its {@code deploy/balancer.toml}.
     *
     * @throws IOException if the command does not run a jar with java
     */
    public static ServeCommand of(Path home) throws IOException {
        Path file = home.resolve("deploy").resolve("balancer.toml");
        String run = new TomlMapper().readTree(file.toFile()).path("run").asText();
        int commandStart = run.lastIndexOf(COMMAND_SEPARATOR) + 1;
        String setup = run.substring(0, commandStart);
        List<String> command =
                new ArrayList<>(Arrays.asList(run.substring(commandStart).trim().split(" +")));
        command.remove("exec");
        if (command.isEmpty() || !command.get(0).equals(JAVA) || !command.contains(JAR)) {
            throw new IOException(file + ": \"run\" does not run a jar with java: " + run);
        }
        return new ServeCommand(setup, List.copyOf(command), home);
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
        return new ServeCommand(setup, otherCommand, workingDirectory);
    }

    /** Returns a builder for a process that runs the command with further arguments. */
    public ProcessBuilder builder(String... arguments) {
        List<String> fullCommand = new ArrayList<>(command);
        if (fullCommand.get(0).equals(JAVA)) {
            fullCommand.set(
                    0, Path.of(System.getProperty("java.home"), "bin", JAVA).toString());
        }
        fullCommand.addAll(List.of(arguments));
        if (!setup.isEmpty()) {
            fullCommand = List.of("/bin/sh", "-c", toScript(fullCommand));
        }
        return new ProcessBuilder(fullCommand).directory(workingDirectory.toFile());
    }

    private String toScript(List<String> fullCommand) {
        String words = fullCommand.stream()
                .map(word -> word.startsWith(VARIABLE) ? word : "'" + word.replace("'", "'\\''") + "'")
                .collect(Collectors.joining(" "));
        return setup + " exec " + words;
    }
}
