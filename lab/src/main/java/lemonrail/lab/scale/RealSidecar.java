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

/** A complete sidecar in a process of its own, started with the command by which the platform starts one. */
final class RealSidecar implements SidecarHost {

    private final String name;
    private final ChildProcess child;
    private final InetSocketAddress address;
    private final Path settingsFile;
    private final Path log;
    private ProcessUsage usage = ProcessUsage.NONE;

    private RealSidecar(String name, ChildProcess child, InetSocketAddress address, Path settingsFile, Path log) {
        this.name = name;
        this.child = child;
        this.address = address;
        this.settingsFile = settingsFile;
        this.log = log;
    }

    /**
     * Starts a sidecar, which may not be ready yet.
     *
     * @param balancers the number of sidecars that watch the same list, which determines how often each calls
     * @param group the name under which its traffic and watch calls are counted
     */
    static RealSidecar start(
            String name,
            ServeCommand command,
            Path parentFolder,
            ControlPlane plane,
            int balancers,
            List<String> zones,
            String listName,
            int node,
            String group)
            throws IOException {
        InetSocketAddress address = SidecarHost.freePort();
        Path folder = Files.createDirectories(parentFolder.resolve(name));
        Path settingsFile = plane.writeSidecarConfig(
                new ControlPlane.SidecarSpec(folder, name, address, balancers, zones), listName, node, group);
        Path log = folder.resolve("log");
        ProcessBuilder builder = (settingsFile.toString().endsWith(".toml")
                        ? command.builder("--config", settingsFile.toString())
                        : command.builder())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("GW_CONFIG", settingsFile.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().remove("GW_MGMT");
        return new RealSidecar(name, new ChildProcess(builder.start()), address, settingsFile, log);
    }

    String name() {
        return name;
    }

    @Override
    public InetSocketAddress address() {
        return address;
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

    /**
     * Writes its settings file again and makes it reload the file. Returns how long it took until the log reported
     * the reload, in ms; NaN on a timeout.
     */
    double reload(long timeoutMs) throws IOException, InterruptedException {
        long previous = countReloads();
        Files.writeString(settingsFile, Files.readString(settingsFile) + "\n");
        long startNanos = System.nanoTime();
        new ProcessBuilder("kill", "-HUP", "" + child.process().pid()).start().waitFor();
        while (countReloads() == previous) {
            if (System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(timeoutMs)) {
                return Double.NaN;
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private long countReloads() throws IOException {
        return Files.readAllLines(log).stream()
                .filter(line -> line.contains("configuration read again"))
                .count();
    }

    @Override
    public void close() {
        child.close();
    }
}
