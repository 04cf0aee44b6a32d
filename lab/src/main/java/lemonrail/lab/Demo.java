package lemonrail.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lemonrail.config.ConfigSource;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.lab.cli.TempDirectory;
import lemonrail.lab.decider.Deciders;
import lemonrail.lab.host.AttemptRecorder;
import lemonrail.lab.host.RunResult;
import lemonrail.lab.host.Testbed;
import lemonrail.lab.model.Arrivals;
import lemonrail.lab.model.ClientRequest;
import lemonrail.lab.model.Clients.Retrying;
import lemonrail.lab.model.EndpointShape.ColdStart;
import lemonrail.lab.model.EndpointShape.Crowding;
import lemonrail.lab.model.Fault;
import lemonrail.lab.scenario.Scenario;
import org.HdrHistogram.Histogram;

/** Runs an edge in this process with simulated endpoints and a steady load, and prints live statistics. */
final class Demo implements AutoCloseable {

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * One endpoint at a time gets a fault: the first at {@code FIRST_FAULT_S}, then one every {@code FAULT_INTERVAL_S}.
     */
    private static final int FAULT_INTERVAL_S = 5;

    private static final int FIRST_FAULT_S = 1;
    private static final int FAULT_LENGTH_S = 2;
    private static final int SLOTS = 16;
    private static final int CONNECTIONS = 200;
    private static final double WORK_MS = 20;
    private static final double RACK_WINDOW_MS = 10_000;
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);

    private final PrintWriter out;
    private final boolean terminal;
    private final TempDirectory temp = new TempDirectory();
    private final Testbed testbed;
    private boolean passed;
    private long lastShownNanos;
    private long startNanos;
    private int tableLines;

    Demo(Path file, int rate, int count, long seed, boolean calm, Duration length, PrintWriter out, boolean terminal)
            throws IOException, InterruptedException {
        this.out = out;
        this.terminal = terminal;
        Scenario scenario = scenario(file, rate, count, calm, (double) length.toMillis());
        testbed = new Testbed(scenario, scenario.variants().get(0), seed, new Testbed.Build(null), temp.path());
    }

    private static Scenario scenario(Path file, int rate, int count, boolean calm, double lengthMs) throws IOException {
        BalancerSettings settings =
                ConfigSource.of(file, Map.of()).load().config().settings();
        List<Scenario.Requests> requests = settings.classes().stream()
                .map(requestClass -> new Scenario.Requests(requestClass.name(), 1, WORK_MS))
                .toList();
        List<Scenario.Tenant> tenants = settings.tenants().stream()
                .map(tenant -> new Scenario.Tenant(tenant.name(), 1))
                .toList();
        List<Fault> faults = new ArrayList<>();
        for (int atS = FIRST_FAULT_S; !calm && atS * 1000.0 < lengthMs; atS += FAULT_INTERVAL_S) {
            faults.add(new Fault(
                    atS / FAULT_INTERVAL_S % 2 == 1 ? Fault.Kind.HANG : Fault.Kind.FAIL,
                    0,
                    atS * 1000.0,
                    FAULT_LENGTH_S * 1000.0,
                    1.0 / (2 * count),
                    0));
        }
        Scenario.Link plainLink = new Scenario.Link(0, 0, 0, 0);
        return new Scenario(
                "demo",
                file,
                "",
                file,
                1,
                new Scenario.Load(rate, lengthMs, 0, Arrivals.Spacing.EVEN, true, CONNECTIONS),
                new Retrying(0, 0, 1, false),
                new Scenario.Patience(1, 1),
                requests,
                tenants,
                List.of(new Scenario.Tier(
                        "stand-in",
                        count,
                        SLOTS,
                        1,
                        1,
                        SLOTS,
                        0,
                        CONNECTIONS,
                        0,
                        1,
                        RACK_WINDOW_MS,
                        1,
                        0,
                        ColdStart.NONE,
                        Crowding.NONE,
                        false)),
                new Scenario.Discovery(true, 1000, 0, 0),
                new Scenario.Sidecars(1, false),
                plainLink,
                plainLink,
                faults,
                List.of(new Scenario.Variant("demo", Deciders.BOXCAR.factory(), Map.of(), null)));
    }

    /** Runs until the configured time has passed or the thread is interrupted, and prints a summary. */
    void run() throws IOException {
        out.printf(
                "edge at %s:%d with %d simulated endpoints, log in %s%n",
                testbed.address().getAddress().getHostAddress(),
                testbed.address().getPort(),
                testbed.endpointStatuses().size(),
                temp.path());
        startNanos = System.nanoTime();
        lastShownNanos = startNanos;
        printSummary(testbed.play(this::printStatistics));
    }

    private static long count(List<ClientRequest> clientRequests, ClientRequest.End end) {
        return clientRequests.stream()
                .filter(clientRequest ->
                        !clientRequest.tries().isEmpty() && clientRequest.last().end() == end)
                .count();
    }

    /** Prints statistics once per second: a table that is redrawn on a terminal, otherwise one line. */
    private void printStatistics(Supplier<List<ClientRequest>> requestSupplier) {
        if (System.nanoTime() - lastShownNanos < SECOND_NANOS) {
            return;
        }
        lastShownNanos += SECOND_NANOS;
        List<ClientRequest> clientRequests = requestSupplier.get();
        List<Testbed.EndpointStatus> endpointStatuses = testbed.endpointStatuses();
        long seconds = Math.round((System.nanoTime() - startNanos) / 1e9);
        long served = count(clientRequests, ClientRequest.End.SERVED);
        long refused = count(clientRequests, ClientRequest.End.REFUSED);
        long failed = count(clientRequests, ClientRequest.End.FAILED);
        int attempts = endpointStatuses.stream()
                .mapToInt(Testbed.EndpointStatus::attempts)
                .sum();
        if (!terminal) {
            StringBuilder endpointCounts = new StringBuilder();
            endpointStatuses.forEach(endpointStatus -> endpointCounts.append(String.format(
                    Locale.ROOT,
                    "  %s %d%s",
                    endpointStatus.id(),
                    endpointStatus.attempts(),
                    faultSuffix(endpointStatus))));
            out.printf(
                    Locale.ROOT,
                    "%3d s  served %d  refused %d  failed %d  attempts %d |%s%n",
                    seconds,
                    served,
                    refused,
                    failed,
                    attempts,
                    endpointCounts);
        } else {
            // Move the cursor up to the first line of the table and clear to the end of the screen.
            out.print(tableLines > 0 ? "\u001b[" + tableLines + "A\u001b[J" : "");
            out.printf(
                    Locale.ROOT,
                    "%-14s %8s %8s %8s %8s%n%-14s %8d %8d %8d %8d%n",
                    "after",
                    "served",
                    "refused",
                    "failed",
                    "attempts",
                    seconds + " s",
                    served,
                    refused,
                    failed,
                    attempts);
            endpointStatuses.forEach(endpointStatus -> out.printf(
                    Locale.ROOT,
                    "%-14s %8d requests%s%n",
                    endpointStatus.id(),
                    endpointStatus.attempts(),
                    faultSuffix(endpointStatus)));
            tableLines = 2 + endpointStatuses.size();
        }
        out.flush();
    }

    private static String faultSuffix(Testbed.EndpointStatus endpointStatus) {
        return endpointStatus.fault().isEmpty() ? "" : " (" + endpointStatus.fault() + ")";
    }

    private void printSummary(RunResult run) {
        List<ClientRequest> clientRequests = run.requests();
        long served = count(clientRequests, ClientRequest.End.SERVED);
        long refused = count(clientRequests, ClientRequest.End.REFUSED);
        long failed = count(clientRequests, ClientRequest.End.FAILED);
        long unansweredCount = clientRequests.size() - served - refused - failed;
        long retried = run.recorder().attempts().size()
                - run.recorder().attempts().stream()
                        .map(AttemptRecorder.Attempt::request)
                        .distinct()
                        .count();
        Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
        clientRequests.stream()
                .filter(clientRequest -> !Double.isNaN(clientRequest.servedMs()))
                .forEach(clientRequest -> latencyMicros.recordValue(Math.min(
                        MAX_LATENCY_MICROS,
                        Math.round((clientRequest.servedMs() - clientRequest.arrivedMs()) * 1000))));
        passed = unansweredCount == 0 && served > 0 && run.violations().isEmpty();
        out.printf(
                Locale.ROOT,
                "%n%d requests: %d served, %d refused, %d failed, %d without a response; " + "%d retried%n",
                clientRequests.size(),
                served,
                refused,
                failed,
                unansweredCount,
                retried);
        out.printf(
                Locale.ROOT,
                "served within %.1f ms (p50), %.1f ms (p99), %.1f ms (maximum)%n",
                latencyMicros.getValueAtPercentile(50) / 1e3,
                latencyMicros.getValueAtPercentile(99) / 1e3,
                latencyMicros.getMaxValue() / 1e3);
        run.violations().forEach(rule -> out.println("rule broken: " + rule));
        out.flush();
    }

    /** Returns whether each request got exactly one response, some were served and no rule was broken. */
    boolean hasPassed() {
        return passed;
    }

    @Override
    public void close() throws IOException {
        testbed.close();
        temp.close();
    }
}
