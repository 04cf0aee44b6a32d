package lemonrail.assembly;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sidecar that runs as a child process, with the lines of its log. */
final class SidecarChildProcess {

    static final String SERVING_TEXT = "serving at /";

    final Process process;
    final List<String> log = new CopyOnWriteArrayList<>();

    private SidecarChildProcess(Process process) {
        this.process = process;
        BufferedReader reader = process.inputReader();
        Thread thread = new Thread(() -> reader.lines().forEach(log::add), "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts a sidecar with the given JVM flags, and waits until it serves requests. */
    static SidecarChildProcess start(Path config, Path folder, String... flags)
            throws IOException, InterruptedException {
        SidecarChildProcess child = launch(config, folder, flags);
        child.awaitLine(SERVING_TEXT);
        return child;
    }

    /** Starts a sidecar with the given JVM flags, without waiting until it serves requests. */
    static SidecarChildProcess launch(Path config, Path folder, String... flags) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-XX:TieredStopAtLevel=1");
        command.addAll(List.of(flags));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "lemonrail.cli.Main", "serve"));
        return launch(new ProcessBuilder(command), config, folder);
    }

    /** Starts a sidecar by the builder's command, without waiting until it serves requests. */
    static SidecarChildProcess launch(ProcessBuilder builder, Path config, Path folder) throws IOException {
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return new SidecarChildProcess(builder.redirectErrorStream(true).start());
    }

    boolean isServing() {
        return hasLogged(SERVING_TEXT);
    }

    void awaitLine(String text) throws InterruptedException {
        SidecarFixture.await(text, () -> hasLogged(text));
    }

    boolean hasLogged(String text) {
        return log.stream().anyMatch(line -> line.contains(text));
    }

    /** Returns the address of its client listener, which it logs once it serves. */
    InetSocketAddress address() {
        String line = log.stream()
                .filter(entry -> entry.contains(SERVING_TEXT))
                .findFirst()
                .orElseThrow();
        String address = line.substring(line.indexOf(SERVING_TEXT) + SERVING_TEXT.length(), line.indexOf(','));
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
