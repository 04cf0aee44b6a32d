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

/** Plays one run after another, shows how it goes, and keeps each. */
final class Runner {

    private static final long SHOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** How long runs may take to keep what they have when they are ended. */
    private static final int KEEP_MS = 20_000;

    private static final long PLAIN_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** One run that has been kept. */
    record Kept(Path folder, Verdict verdict, boolean isVoid, boolean whole) {}

    private final Path out;
    private final Path jar;
    private final PrintWriter words;
    private final boolean terminal;
    private final int parallel;
    private long shownNanos;

    Runner(Path out, Path jar, PrintWriter words, boolean terminal, int parallel) {
        this.parallel = parallel;
        this.out = out;
        this.jar = jar;
        this.words = words;
        this.terminal = terminal;
    }

    /** One run that is to be played. */
    record Job(Scenario scenario, Scenario.Variant variant, long seed) {}

    /** Plays all, so many at once; {@code each} hears of one at a time. */
    void all(List<Job> jobs, BiConsumer<Job, Kept> each) throws IOException, InterruptedException {
        ExecutorService players = Executors.newFixedThreadPool(parallel);
        CompletionService<Void> finishedRuns = new ExecutorCompletionService<>(players);
        try {
            for (Job job : jobs) {
                finishedRuns.submit(() -> {
                    Kept kept = run(job.scenario, job.variant, job.seed);
                    synchronized (each) {
                        each.accept(job, kept);
                    }
                    return null;
                });
            }
            for (int i = 0; i < jobs.size(); i++) {
                finishedRuns.take().get();
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException cause) {
                throw cause;
            }
            throw new IllegalStateException(e.getCause());
        } finally {
            players.shutdownNow();
            players.awaitTermination(KEEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Where the runs of this version go. */
    Path folder() {
        return out.resolve(version());
    }

    /** Plays one run; an interrupted one is kept, marked, and ends the call. */
    Kept run(Scenario scenario, Scenario.Variant variant, long seed) throws IOException, InterruptedException {
        Path folder = folder().resolve(scenario.name()).resolve(variant.name() + "-" + seed);
        Files.createDirectories(folder);
        try (Interrupts interrupts = new Interrupts();
                Scratch scratch = new Scratch();
                Testbed testbed = new Testbed(scenario, variant, seed, new Testbed.Builds(jar), scratch.path())) {
            shownNanos = System.nanoTime();
            RunResult finishedRuns = testbed.play(asked -> show(scenario, variant, seed, asked));
            Verdict verdict = Scorer.score(finishedRuns);
            RunFolder kept = new RunFolder(folder);
            kept.keep(finishedRuns, verdict, version());
            Report.render(kept);
            tell(scenario, variant, seed, verdict, finishedRuns);
            keepLogs(scratch.path(), folder);
            if (!finishedRuns.complete()) {
                throw new InterruptedException("interrupted; the results so far are in " + folder);
            }
            return new Kept(folder, verdict, finishedRuns.lateness().isVoid(), true);
        }
    }

    private static void keepLogs(Path scratch, Path folder) throws IOException {
        try (Stream<Path> files = Files.list(scratch)) {
            for (Path log :
                    files.filter(file -> file.toString().endsWith(".log")).toList()) {
                if (Files.size(log) > 0) {
                    Path to = Files.createDirectories(folder.resolve("logs")).resolve(log.getFileName());
                    Files.deleteIfExists(to);
                    Files.copy(log, to);
                }
            }
        }
    }

    /** The commit that is played, as far as it is known. */
    static String version() {
        String version = Runner.class.getPackage().getImplementationVersion();
        return System.getProperty("lemonrail.commit", version == null ? "of a checkout" : version);
    }

    private void show(Scenario scenario, Scenario.Variant variant, long seed, Supplier<List<ClientRequest>> asked) {
        long now = System.nanoTime();
        if (now - shownNanos < (terminal ? SHOW_NANOS : PLAIN_NANOS)) {
            return;
        }
        shownNanos = now;
        List<ClientRequest> requests = asked.get();
        long served = requests.stream()
                .filter(request -> !Double.isNaN(request.servedMs()))
                .count();
        words.printf(
                Locale.ROOT,
                terminal ? "\r%s %s seed %d: asked %d, served %d " : "%s %s seed %d: asked " + "%d, served %d%n",
                scenario.name(),
                variant.name(),
                seed,
                requests.size(),
                served);
        words.flush();
    }

    private void tell(Scenario scenario, Scenario.Variant variant, long seed, Verdict verdict, RunResult finishedRuns) {
        words.printf(
                Locale.ROOT,
                "%s%-20s %-18s seed %-3d service %.3f  whole %.3f  worst 10 s %.3f  "
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
                finishedRuns.lateness().isVoid() ? "  VOID " + finishedRuns.lateness() : "",
                finishedRuns.complete() ? "" : "  interrupted");
        words.flush();
    }
}
