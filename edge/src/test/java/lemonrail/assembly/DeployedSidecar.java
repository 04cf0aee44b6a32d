package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The commands of the deploy file, with this build's classes in place of the jar. */
final class DeployedSidecar {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Path DEPLOY = ROOT.resolve(Path.of("deploy", "balancer.toml"));

    private DeployedSidecar() {}

    /** Starts a sidecar by the run command, and waits until it serves requests. */
    static SidecarChildProcess start(Path config, Path stateDirectory) throws IOException, InterruptedException {
        SidecarChildProcess child = launch(config, stateDirectory);
        child.awaitLine(SidecarChildProcess.SERVING_TEXT);
        return child;
    }

    /** Starts a sidecar by the run command, without waiting until it serves requests. */
    static SidecarChildProcess launch(Path config, Path stateDirectory) throws IOException {
        return SidecarChildProcess.launch(shell(command("run", "")), config, stateDirectory);
    }

    /** Returns a builder of a process that runs a command as the platform does. */
    static ProcessBuilder shell(String command) {
        return new ProcessBuilder("/bin/sh", "-c", command).directory(ROOT.toFile());
    }

    /**
     * Returns a command of the deploy file that runs this build's classes.
     *
     * @param archiveFlag replaces the flag of the class archive, which only fits the jar
     */
    static String command(String key, String archiveFlag) throws IOException {
        Matcher found = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(Files.readString(DEPLOY));
        assertTrue(found.find(), "deploy/balancer.toml contains the command " + key);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return found.group(1)
                .replaceAll("-XX:SharedArchiveFile=\\S+", archiveFlag)
                .replace("exec java ", "exec " + java + " ")
                .replace(
                        "-jar edge/target/lemonrail.jar",
                        "-cp '" + System.getProperty("java.class.path") + "' lemonrail.cli.Main");
    }

    /** Returns the lines of the process's status that Linux provides, for example {@code VmHWM}, in MB. */
    static int memoryMb(SidecarChildProcess sidecar, String field) throws IOException {
        List<String> status = Files.readAllLines(Path.of("/proc", String.valueOf(sidecar.process.pid()), "status"));
        String line = status.stream()
                .filter(entry -> entry.startsWith(field + ":"))
                .findFirst()
                .orElseThrow();
        return Integer.parseInt(line.replaceAll("\\D", "")) / 1024;
    }
}
