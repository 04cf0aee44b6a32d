package lemonrail.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lemonrail.lab.host.ChildProcess;
import lemonrail.lab.host.ProcessUsage;
import lemonrail.lab.host.SidecarHost;

/** A whole sidecar in a process of its own, by the command of service, as the platform starts it. */
final class RealSidecar implements SidecarHost {

    private final String name;
    private final ChildProcess child;
    private final InetSocketAddress listen;
    private final Path file;
    private final Path log;
    private ProcessUsage usage = ProcessUsage.NONE;

    private RealSidecar(String name, ChildProcess child, InetSocketAddress listen, Path file, Path log) {
        this.name = name;
        this.child = child;
        this.listen = listen;
        this.file = file;
        this.log = log;
    }

    /**
     * Starts one, which may not be ready yet.
     *
     * @param balancers how many watch the same list, which is what it paces its calls by
     * @param group whose traffic is counted, and who is heard
     */
    static RealSidecar start(
            String name,
            ServeCommand command,
            Path scratch,
            ControlPlane plane,
            int balancers,
            List<String> zones,
            String list,
            int node,
            String group)
            throws IOException {
        InetSocketAddress listen = SidecarHost.freePort();
        Path folder = Files.createDirectories(scratch.resolve(name));
        Path file = plane.file(new ControlPlane.Place(folder, name, listen, balancers, zones), list, node, group);
        Path log = folder.resolve("log");
        ProcessBuilder builder = (file.toString().endsWith(".toml")
                        ? command.builder("--config", file.toString())
                        : command.builder())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().remove("GW_MGMT");
        return new RealSidecar(name, new ChildProcess(builder.start()), listen, file, log);
    }

    String name() {
        return name;
    }

    @Override
    public InetSocketAddress address() {
        return listen;
    }

    @Override
    public double cpuMs() {
        try {
            usage = ProcessUsage.of(child.process().pid()).includingEndedThreads(usage);
            return usage.processMs();
        } catch (IOException e) {
            return Double.NaN;
        }
    }

    @Override
    public double residentMb() throws IOException {
        return ProcessUsage.residentMb(child.process().pid());
    }

    double proportionalMb() throws IOException {
        return ProcessUsage.proportionalMb(child.process().pid());
    }

    @Override
    public boolean hasCrashed() {
        return !child.process().isAlive();
    }

    /** Writes its settings anew and has them read again; how long it took until it said so, in ms. */
    double reload(long mostMs) throws IOException, InterruptedException {
        long before = reloads();
        Files.writeString(file, Files.readString(file) + "\n");
        long began = System.nanoTime();
        new ProcessBuilder("kill", "-HUP", "" + child.process().pid()).start().waitFor();
        while (reloads() == before) {
            if (System.nanoTime() - began > TimeUnit.MILLISECONDS.toNanos(mostMs)) {
                return Double.NaN;
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return (System.nanoTime() - began) / 1e6;
    }

    private long reloads() throws IOException {
        return Files.readAllLines(log).stream()
                .filter(line -> line.contains("configuration read again"))
                .count();
    }

    @Override
    public void close() {
        child.close();
    }
}
