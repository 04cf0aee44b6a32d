package lemonrail.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What a process costs, read from outside. The system tells processor time of a process in ticks of 10 ms,
 * and of each thread to the nanosecond; a thread that has ended is remembered as it was last seen. The larger
 * of both sums is within a few ms of the truth and never falls.
 */
final class ProcessCost {

    private static final int TICK_MS = 10;
    private static final int USER_TICKS = 11;

    private final long pid;
    private final Map<String, Double> threadMs = new HashMap<>();

    ProcessCost(long pid) {
        this.pid = pid;
    }

    /** Processor time since its start, in ms. */
    double cpuMs() throws IOException {
        try (Stream<Path> threads = Files.list(file("task"))) {
            for (Path thread : threads.toList()) {
                try {
                    threadMs.put(thread.getFileName().toString(),
                        Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[0]) / 1e6);
                } catch (NoSuchFileException e) {
                    // It has just ended, or the system does not tell: the ticks are all there is.
                    continue;
                }
            }
        }
        return Math.max(ticks() * TICK_MS, threadMs.values().stream().mapToDouble(ms -> ms).sum());
    }

    private Path file(String name) {
        return Path.of("/proc", "" + pid, name);
    }

    private double ticks() throws IOException {
        String stat = Files.readString(file("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Double.parseDouble(fields[USER_TICKS]) + Double.parseDouble(fields[USER_TICKS + 1]);
    }

    /** Resident memory in MB. */
    double residentMb() throws IOException {
        return kilobytes(file("status"), "VmRSS:") / 1024;
    }

    /** Its share of memory in MB, where what several processes map is shared out among them. */
    double proportionalMb() throws IOException {
        return kilobytes(file("smaps_rollup"), "Pss:") / 1024;
    }

    private static double kilobytes(Path file, String name) throws IOException {
        List<String> lines = Files.readAllLines(file);
        return lines.stream().filter(line -> line.startsWith(name))
            .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", ""))).findFirst()
            .orElse(Double.NaN);
    }
}
