package lemonrail.assembly;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The program as a process of its own, and all that it has said. */
final class Served {

    private static final String SERVING = "serving at /";

    final Process process;
    final List<String> log = new CopyOnWriteArrayList<>();

    private Served(Process process) {
        this.process = process;
        BufferedReader reader = process.inputReader();
        Thread thread = new Thread(() -> reader.lines().forEach(log::add), "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts it with these flags of the JVM, and waits until it serves. */
    static Served start(Path config, Path folder, String... flags) throws IOException, InterruptedException {
        Served served = launch(config, folder, flags);
        served.awaitLine(SERVING);
        return served;
    }

    /** Starts it with these flags of the JVM. */
    static Served launch(Path config, Path folder, String... flags) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-XX:TieredStopAtLevel=1");
        command.addAll(List.of(flags));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "lemonrail.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return new Served(builder.redirectErrorStream(true).start());
    }

    boolean serves() {
        return said(SERVING);
    }

    void awaitLine(String part) throws InterruptedException {
        Rig.await(part, () -> said(part));
    }

    boolean said(String part) {
        return log.stream().anyMatch(line -> line.contains(part));
    }

    /** Where clients connect, as it says itself. */
    InetSocketAddress address() {
        String line =
                log.stream().filter(said -> said.contains(SERVING)).findFirst().orElseThrow();
        String at = line.substring(line.indexOf(SERVING) + SERVING.length(), line.indexOf(','));
        int colon = at.lastIndexOf(':');
        return new InetSocketAddress(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)));
    }
}
