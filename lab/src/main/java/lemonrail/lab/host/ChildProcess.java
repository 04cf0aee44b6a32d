package lemonrail.lab.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process that the lab has started, and what it costs. */
public record ChildProcess(Process process) implements AutoCloseable {

    private static final int END_S = 5;

    /** A Java process that has not been started, with the collector and heap of the edge's usual call. */
    public static ProcessBuilder java(String... arguments) {
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC", "-Xmx160m"));
        line.addAll(List.of(arguments));
        return new ProcessBuilder(line);
    }

    /** Processor time that it has used, in ms. */
    public double cpuMs() {
        return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    /** Its resident memory in MiB, or NaN where the system does not tell. */
    public double residentMb() throws IOException {
        return Files.isReadable(Path.of("/proc", String.valueOf(process.pid()), "status"))
                ? ProcessUsage.residentMb(process.pid())
                : Double.NaN;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(END_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
