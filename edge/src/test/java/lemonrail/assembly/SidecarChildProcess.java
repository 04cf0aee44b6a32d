package lemonrail.assembly;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The program as a child process, and the lines of its log. */
final class SidecarChildProcess {

    private static final String SERVING = "serving at /";

    final Process process;
    final List<String> log = new CopyOnWriteArrayList<>();

    private SidecarChildProcess(Process process) {
        this.process = process;
        BufferedReader reader = process.inputReader();
        Thread thread = new Thread(() -> reader.lines().forEach(log::add), "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts the program with these JVM flags, and waits until it serves. */
    static SidecarChildProcess start(Path config, Path folder, String... flags)
            throws IOException, InterruptedException {
        SidecarChildProcess served = launch(config, folder, flags);
        served.awaitLine(SERVING);
        return served;
    }

    /** Starts the program with these JVM flags. */
    static SidecarChildProcess launch(Path config, Path folder, String... flags) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-XX:TieredStopAtLevel=1");
        command.addAll(List.of(flags));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "lemonrail.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return new SidecarChildProcess(builder.redirectErrorStream(true).start());
    }

    boolean isServing() {
        return hasLogged(SERVING);
    }

    void awaitLine(String part) throws InterruptedException {
        SidecarFixture.await(part, () -> hasLogged(part));
    }

    boolean hasLogged(String part) {
        return log.stream().anyMatch(line -> line.contains(part));
    }

    /** Returns where clients connect, as the program has logged it. */
    InetSocketAddress address() {
        String line =
                log.stream().filter(said -> said.contains(SERVING)).findFirst().orElseThrow();
        String at = line.substring(line.indexOf(SERVING) + SERVING.length(), line.indexOf(','));
        int colon = at.lastIndexOf(':');
        return new InetSocketAddress(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)));
    }
}
