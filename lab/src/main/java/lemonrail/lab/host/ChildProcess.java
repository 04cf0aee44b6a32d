package lemonrail.lab.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process of the lab, with its resource usage. */
public record ChildProcess(Process process) implements AutoCloseable {

    private static final int EXIT_TIMEOUT_S = 5;

    /** Returns a builder of a Java process, with the collector and heap size that the edge normally runs with. */
    public static ProcessBuilder java(String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC", "-Xmx160m"));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command);
    }

    /** Returns the processor time used so far, in ms. */
    public double cpuMs() {
        return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    /** Returns the resident memory in MiB, or NaN if the system does not report it. */
    public double residentMb() throws IOException {
        return Files.isReadable(Path.of("/proc", String.valueOf(process.pid()), "status"))
                ? ProcessUsage.residentMb(process.pid())
                : Double.NaN;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
