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
 * What a process has used so far, as the Linux kernel tells it from outside (proc(5)).
 *
 * @param statMs processor time of the process in ms, from {@code /proc/PID/stat}, to 10 ms
 * @param threads the same by thread, from {@code /proc/PID/task/TID}, to a microsecond; what threads used
 *     that have ended is not in it
 * @param residentMb resident memory in MiB
 * @param descriptors open file descriptors
 */
public record ProcessUsage(double statMs, Map<String, Threads> threads, double residentMb, int descriptors) {

    /** What a thread is there for. */
    public enum Kind {
        /** The event loop, which carries the calls. */
        LOOP,
        /** The JVM's compilers. */
        COMPILER,
        /** The JVM's own work, garbage collection and periodic tasks. */
        VM,
        /** All else, such as the log's writer. */
        OTHER
    }

    /**
     * A thread, or several of one kind together.
     *
     * @param ranMs processor time in ms
     * @param waitedMs time in ms in which they could have run but had no processor
     * @param wakeups how often they gave up the processor of themselves, and so were woken again
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

    /** No process, of which nothing is known. */
    public static final ProcessUsage NONE = new ProcessUsage(Double.NaN, Map.of(), Double.NaN, 0);

    /** Ticks of {@code /proc/PID/stat}, which Linux shows as 100 a second whatever it counts by itself. */
    private static final double TICK_MS = 10;

    private static final int USER_TICKS = 11;
    private static final double NANOS = 1e6;
    private static final double KILO = 1024;

    /** Reads it of a process that runs. */
    public static ProcessUsage of(long pid) throws IOException {
        Path process = folder(pid);
        String stat = Files.readString(process.resolve("stat"));
        // The name may hold blanks and brackets; what follows its last bracket does not.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double statMs = TICK_MS * (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[USER_TICKS + 1]));
        Map<String, Threads> threads = new HashMap<>();
        for (Path task : list(process.resolve("task"))) {
            try {
                threads.put(pid + "/" + task.getFileName(), thread(task));
            } catch (IOException e) {
                // The thread has ended meanwhile.
                continue;
            }
        }
        return new ProcessUsage(
                statMs, threads, residentMb(pid), list(process.resolve("fd")).size());
    }

    private static Path folder(long pid) {
        return Path.of("/proc", String.valueOf(pid));
    }

    /** Resident memory of a process in MiB. */
    public static double residentMb(long pid) throws IOException {
        return number(folder(pid).resolve("status"), "VmRSS:") / KILO;
    }

    /** Its share of memory in MiB, where what several processes map is shared out among them. */
    public static double proportionalMb(long pid) throws IOException {
        return number(folder(pid).resolve("smaps_rollup"), "Pss:") / KILO;
    }

    private static List<Path> list(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return new ArrayList<>(files.toList());
        }
    }

    /** Returns what a thread of this name does. */
    public static Kind kind(String thread) {
        if (thread.startsWith("sidecar-") || thread.startsWith("multiThreadIoEv")) {
            return Kind.LOOP;
        }
        if (thread.startsWith("C1 ") || thread.startsWith("C2 ") || thread.startsWith("Sweeper")) {
            return Kind.COMPILER;
        }
        return thread.startsWith("VM ") || thread.startsWith("GC ") ? Kind.VM : Kind.OTHER;
    }

    private static Threads thread(Path task) throws IOException {
        String[] nanos = Files.readString(task.resolve("schedstat")).trim().split(" ");
        return new Threads(
                kind(Files.readString(task.resolve("comm")).trim()),
                Long.parseLong(nanos[0]) / NANOS,
                Long.parseLong(nanos[1]) / NANOS,
                (long) number(task.resolve("status"), "voluntary_ctxt_switches:"));
    }

    private static double number(Path file, String key) throws IOException {
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

    /** What threads of a kind have used. */
    public Threads of(Kind kind) {
        return threads.values().stream()
                .filter(thread -> thread.kind == kind)
                .reduce(Threads.none(kind), Threads::plus);
    }

    /** Processor time of all threads in ms. */
    public double cpuMs() {
        return threads.isEmpty()
                ? Double.NaN
                : threads.values().stream().mapToDouble(Threads::ranMs).sum();
    }

    /**
     * Processor time of the process in ms: its threads' where that is more than what the process's own count
     * has come to, in its coarse steps, or all there is where the system tells nothing of threads.
     */
    public double processMs() {
        return threads.isEmpty() ? statMs : Math.max(statMs, cpuMs());
    }

    /** The same with the threads that have ended since then, as they were last seen: no sum of them falls. */
    public ProcessUsage remembering(ProcessUsage before) {
        Map<String, Threads> all = new HashMap<>(before.threads);
        all.putAll(threads);
        return new ProcessUsage(statMs, all, residentMb, descriptors);
    }

    /** How long threads could have run but had no processor, in ms. */
    public double waitedMs() {
        return threads.values().stream().mapToDouble(Threads::waitedMs).sum();
    }

    /** How often threads were woken. */
    public long wakeups() {
        return threads.values().stream().mapToLong(Threads::wakeups).sum();
    }

    /** What has been used since then; memory and descriptors are those of now. */
    public ProcessUsage since(ProcessUsage before) {
        Map<String, Threads> used = new HashMap<>();
        threads.forEach(
                (id, now) -> used.put(id, before.threads.containsKey(id) ? now.minus(before.threads.get(id)) : now));
        return new ProcessUsage(statMs - before.statMs, used, residentMb, descriptors);
    }

    /** Two processes, or two times of one, together; memory is the most of both. */
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
