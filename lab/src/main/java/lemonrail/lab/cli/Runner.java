package lemonrail.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletionService;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import lemonrail.lab.host.RunResult;
import lemonrail.lab.host.Testbed;
import lemonrail.lab.model.ClientRequest;
import lemonrail.lab.report.Report;
import lemonrail.lab.report.RunFolder;
import lemonrail.lab.report.Scorer;
import lemonrail.lab.report.Verdict;
import lemonrail.lab.scenario.Scenario;

/** Runs scenarios, prints their progress and stores the results of each run. */
final class Runner {

    private static final long TERMINAL_PROGRESS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Maximum time that interrupted runs have to store their results. */
    private static final int STORE_TIMEOUT_MS = 20_000;

    private static final long PLAIN_PROGRESS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** A finished run whose results are stored; {@code whole} is false if it was interrupted. */
    record CompletedRun(Path folder, Verdict verdict, boolean isVoid, boolean whole) {}

    private final Path out;
    private final Path jar;
    private final PrintWriter output;
    private final boolean terminal;
    private final int parallel;
    private long lastShownNanos;

    Runner(Path out, Path jar, PrintWriter output, boolean terminal, int parallel) {
        this.parallel = parallel;
        this.out = out;
        this.jar = jar;
        this.output = output;
        this.terminal = terminal;
    }

    /** A run to execute. */
    record Job(Scenario scenario, Scenario.Variant variant, long seed) {}

    /**
     * Executes all jobs, up to {@code parallel} at a time; {@code listener} is called for one finished run at a time.
     */
    void runAll(List<Job> jobs, BiConsumer<Job, CompletedRun> listener) throws IOException, InterruptedException {
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        CompletionService<Void> completions = new ExecutorCompletionService<>(executor);
        try {
            for (Job job : jobs) {
                completions.submit(() -> {
                    CompletedRun completed = run(job.scenario, job.variant, job.seed);
                    synchronized (listener) {
                        listener.accept(job, completed);
                    }
                    return null;
                });
            }
            for (int i = 0; i < jobs.size(); i++) {
                completions.take().get();
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException cause) {
                throw cause;
            }
            throw new IllegalStateException(e.getCause());
        } finally {
            executor.shutdownNow();
            executor.awaitTermination(STORE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the directory for the runs of this version. */
    Path folder() {
        return out.resolve(version());
    }

    /**
     * Executes a run and stores its results.
     *
     * @throws InterruptedException if the run was interrupted; its results so far are stored and marked as incomplete
     */
    CompletedRun run(Scenario scenario, Scenario.Variant variant, long seed) throws IOException, InterruptedException {
        Path folder = folder().resolve(scenario.name()).resolve(variant.name() + "-" + seed);
        Files.createDirectories(folder);
        try (ShutdownInterrupter interrupter = new ShutdownInterrupter();
                TempDirectory temp = new TempDirectory();
                Testbed testbed = new Testbed(scenario, variant, seed, new Testbed.Build(jar), temp.path())) {
            lastShownNanos = System.nanoTime();
            RunResult result = testbed.play(requestSupplier -> printProgress(scenario, variant, seed, requestSupplier));
            Verdict verdict = Scorer.score(result);
            RunFolder runFolder = new RunFolder(folder);
            runFolder.write(result, verdict, version());
            Report.render(runFolder);
            printResult(scenario, variant, seed, verdict, result);
            copyLogs(temp.path(), folder);
            if (!result.complete()) {
                throw new InterruptedException("run interrupted; the results so far are in " + folder);
            }
            return new CompletedRun(folder, verdict, result.lateness().isVoid(), true);
        }
    }

    private static void copyLogs(Path temp, Path folder) throws IOException {
        try (Stream<Path> files = Files.list(temp)) {
            for (Path log :
                    files.filter(file -> file.toString().endsWith(".log")).toList()) {
                if (Files.size(log) > 0) {
                    Path target =
                            Files.createDirectories(folder.resolve("logs")).resolve(log.getFileName());
                    Files.deleteIfExists(target);
                    Files.copy(log, target);
                }
            }
        }
    }

    /** Returns the commit or, if it is unknown, the version of this build. */
    static String version() {
        String version = Runner.class.getPackage().getImplementationVersion();
        return System.getProperty("lemonrail.commit", version == null ? "of a checkout" : version);
    }

    private void printProgress(
            Scenario scenario, Scenario.Variant variant, long seed, Supplier<List<ClientRequest>> requestSupplier) {
        long now = System.nanoTime();
        if (now - lastShownNanos < (terminal ? TERMINAL_PROGRESS_INTERVAL_NANOS : PLAIN_PROGRESS_INTERVAL_NANOS)) {
            return;
        }
        lastShownNanos = now;
        List<ClientRequest> requests = requestSupplier.get();
        long served = requests.stream()
                .filter(request -> !Double.isNaN(request.servedMs()))
                .count();
        output.printf(
                Locale.ROOT,
                terminal ? "\r%s %s seed %d: requests %d, served %d " : "%s %s seed %d: requests " + "%d, served %d%n",
                scenario.name(),
                variant.name(),
                seed,
                requests.size(),
                served);
        output.flush();
    }

    private void printResult(
            Scenario scenario, Scenario.Variant variant, long seed, Verdict verdict, RunResult result) {
        output.printf(
                Locale.ROOT,
                "%s%-20s %-18s seed %-3d service %.3f  overall %.3f  worst 10 s %.3f  "
                        + "waste %.3f  p50 %.0f  p99 %.0f ms  rules broken %d%s%s%n",
                terminal ? "\r\u001b[K" : "",
                scenario.name(),
                variant.name(),
                seed,
                verdict.service(),
                verdict.whole(),
                verdict.worst10s(),
                verdict.waste(),
                verdict.p50Ms(),
                verdict.p99Ms(),
                verdict.broken(),
                result.lateness().isVoid() ? "  VOID " + result.lateness() : "",
                result.complete() ? "" : "  interrupted");
        output.flush();
    }
}
