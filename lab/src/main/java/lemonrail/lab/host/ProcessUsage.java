package lemonrail.lab.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Resource usage of a process since its start, as the Linux kernel reports it in {@code /proc} (proc(5)).
 *
 * @param statMs processor time of the process in ms, from {@code /proc/PID/stat}, with a resolution of 10 ms
 * @param threads usage by thread, from {@code /proc/PID/task/TID}, with a resolution of a microsecond; threads that
 *     have ended are not included
 * @param residentMb resident memory in MiB
 * @param descriptors open file descriptors
 */
public record ProcessUsage(double statMs, Map<String, Threads> threads, double residentMb, int descriptors) {

    /** Purpose of a thread. */
    public enum Kind {
        /** The event loop, which serves the requests. */
        LOOP,
        /** The JVM's compilers. */
        COMPILER,
        /** The JVM's own threads, for garbage collection and periodic tasks. */
        VM,
        /** All other threads, such as the log writer. */
        OTHER
    }

    /**
     * Usage of a thread, or the sum of several threads of one kind.
     *
     * @param ranMs processor time in ms
     * @param waitedMs time in ms for which the threads were runnable but had no processor
     * @param wakeups number of voluntary context switches, after each of which a thread had to be woken
     */
    public record Threads(Kind kind, double ranMs, double waitedMs, long wakeups) {
        private static Threads none(Kind kind) {
            return new Threads(kind, 0, 0, 0);
        }

        /** Returns the sums of both usages. */
        public Threads plus(Threads more) {
            return new Threads(kind, ranMs + more.ranMs, waitedMs + more.waitedMs, wakeups + more.wakeups);
        }

        /** Returns this usage without the other. */
        public Threads minus(Threads less) {
            return new Threads(kind, ranMs - less.ranMs, waitedMs - less.waitedMs, wakeups - less.wakeups);
        }
    }

    /** Usage of no process: everything is unknown. */
    public static final ProcessUsage NONE = new ProcessUsage(Double.NaN, Map.of(), Double.NaN, 0);

    /** Clock tick of {@code /proc/PID/stat}: Linux reports 100 ticks per second, whatever its internal timer rate. */
    private static final double TICK_MS = 10;

    private static final int USER_TICKS_FIELD = 11;
    private static final double NANOS_PER_MS = 1e6;
    private static final double KIB_PER_MIB = 1024;

    /** Reads the usage of a running process. */
    public static ProcessUsage of(long pid) throws IOException {
        Path process = folder(pid);
        String stat = Files.readString(process.resolve("stat"));
        // The process name may contain spaces and parentheses; the fields after the last parenthesis do not.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double statMs =
                TICK_MS * (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[USER_TICKS_FIELD + 1]));
        Map<String, Threads> threads = new HashMap<>();
        for (Path task : listFiles(process.resolve("task"))) {
            try {
                threads.put(pid + "/" + task.getFileName(), readThread(task));
            } catch (IOException e) {
                // The thread has ended since the directory was listed.
                continue;
            }
        }
        return new ProcessUsage(
                statMs,
                threads,
                residentMb(pid),
                listFiles(process.resolve("fd")).size());
    }

    private static Path folder(long pid) {
        return Path.of("/proc", String.valueOf(pid));
    }

    /** Returns the resident memory of a process in MiB, or NaN if the kernel does not report it. */
    public static double residentMb(long pid) throws IOException {
        return readNumber(folder(pid).resolve("status"), "VmRSS:") / KIB_PER_MIB;
    }

    /** Returns the proportional set size in MiB, in which memory shared by several processes is divided among them. */
    public static double proportionalMb(long pid) throws IOException {
        return readNumber(folder(pid).resolve("smaps_rollup"), "Pss:") / KIB_PER_MIB;
    }

    private static List<Path> listFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return new ArrayList<>(files.toList());
        }
    }

    /** Returns the kind of a thread of this name. */
    public static Kind kind(String name) {
        if (name.startsWith("sidecar-") || name.startsWith("multiThreadIoEv")) {
            return Kind.LOOP;
        }
        if (name.startsWith("C1 ") || name.startsWith("C2 ") || name.startsWith("Sweeper")) {
            return Kind.COMPILER;
        }
        return name.startsWith("VM ") || name.startsWith("GC ") ? Kind.VM : Kind.OTHER;
    }

    private static Threads readThread(Path task) throws IOException {
        String[] nanos = Files.readString(task.resolve("schedstat")).trim().split(" ");
        return new Threads(
                kind(Files.readString(task.resolve("comm")).trim()),
                Long.parseLong(nanos[0]) / NANOS_PER_MS,
                Long.parseLong(nanos[1]) / NANOS_PER_MS,
                (long) readNumber(task.resolve("status"), "voluntary_ctxt_switches:"));
    }

    private static double readNumber(Path file, String key) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(key)) {
                return Double.parseDouble(line.substring(key.length())
                        .toLowerCase(Locale.ROOT)
                        .replace("kb", "")
                        .trim());
            }
        }
        return Double.NaN;
    }

    /** Returns the summed usage of all threads of a kind. */
    public Threads of(Kind kind) {
        return threads.values().stream()
                .filter(thread -> thread.kind == kind)
                .reduce(Threads.none(kind), Threads::plus);
    }

    /** Returns the processor time of all threads in ms, or NaN if nothing is known of threads. */
    public double cpuMs() {
        return threads.isEmpty()
                ? Double.NaN
                : threads.values().stream().mapToDouble(Threads::ranMs).sum();
    }

    /**
     * Returns the processor time of the process in ms: the larger of the process's own count, which has a coarse
     * resolution, and the sum over its threads, which leaves out threads that have ended. Returns the former if
     * nothing is known of threads.
     */
    public double processMs() {
        return threads.isEmpty() ? statMs : Math.max(statMs, cpuMs());
    }

    /** Returns this usage plus the threads of {@code before} that have ended since, so that sums never decrease. */
    public ProcessUsage includingEndedThreads(ProcessUsage before) {
        Map<String, Threads> all = new HashMap<>(before.threads);
        all.putAll(threads);
        return new ProcessUsage(statMs, all, residentMb, descriptors);
    }

    /** Returns the time in ms for which threads were runnable but had no processor. */
    public double waitedMs() {
        return threads.values().stream().mapToDouble(Threads::waitedMs).sum();
    }

    /** Returns the number of times that threads were woken. */
    public long wakeups() {
        return threads.values().stream().mapToLong(Threads::wakeups).sum();
    }

    /** Returns the usage since {@code before}; memory and descriptors are the present ones. */
    public ProcessUsage since(ProcessUsage before) {
        Map<String, Threads> used = new HashMap<>();
        threads.forEach(
                (id, now) -> used.put(id, before.threads.containsKey(id) ? now.minus(before.threads.get(id)) : now));
        return new ProcessUsage(statMs - before.statMs, used, residentMb, descriptors);
    }

    /** Returns the sum of two processes or of two intervals; memory and descriptors are the maximum of both. */
    public ProcessUsage plus(ProcessUsage more) {
        Map<String, Threads> all = new HashMap<>(threads);
        more.threads.forEach((id, thread) -> all.merge(id, thread, Threads::plus));
        return new ProcessUsage(
                statMs + more.statMs,
                all,
                Math.max(residentMb, more.residentMb),
                Math.max(descriptors, more.descriptors));
    }
}
