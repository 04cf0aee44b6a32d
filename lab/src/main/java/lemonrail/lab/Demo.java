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
import lemonrail.lab.cli.Scratch;
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

/** An edge in this process before the lab's endpoints, with a steady stream of requests and a live table. */
final class Demo implements AutoCloseable {

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** One endpoint is in trouble once in so many seconds, from the first of these on and for so many. */
    private static final int TROUBLE_EVERY_S = 5;

    private static final int TROUBLE_AT_S = 1;
    private static final int TROUBLE_S = 2;
    private static final int SLOTS = 16;
    private static final int CONNECTIONS = 200;
    private static final double WORK_MS = 20;
    private static final double RACK_WINDOW_MS = 10_000;
    private static final long MOST_MICROS = TimeUnit.MINUTES.toMicros(10);

    private final PrintWriter out;
    private final boolean terminal;
    private final Scratch scratch = new Scratch();
    private final Testbed testbed;
    private boolean sound;
    private long shownNanos;
    private long beganNanos;
    private int lines;

    Demo(Path file, int rate, int count, long seed, boolean calm, Duration length, PrintWriter out, boolean terminal)
            throws IOException, InterruptedException {
        this.out = out;
        this.terminal = terminal;
        Scenario scenario = scenario(file, rate, count, calm, (double) length.toMillis());
        testbed = new Testbed(scenario, scenario.variants().get(0), seed, new Testbed.Builds(null), scratch.path());
    }

    private static Scenario scenario(Path file, int rate, int count, boolean calm, double lengthMs) throws IOException {
        BalancerSettings settings =
                ConfigSource.of(file, Map.of()).load().config().settings();
        List<Scenario.Requests> requests = settings.classes().stream()
                .map(kind -> new Scenario.Requests(kind.name(), 1, WORK_MS))
                .toList();
        List<Scenario.Tenant> tenants = settings.tenants().stream()
                .map(tenant -> new Scenario.Tenant(tenant.name(), 1))
                .toList();
        List<Fault> faults = new ArrayList<>();
        for (int s = TROUBLE_AT_S; !calm && s * 1000.0 < lengthMs; s += TROUBLE_EVERY_S) {
            faults.add(new Fault(
                    s / TROUBLE_EVERY_S % 2 == 1 ? Fault.Kind.HANG : Fault.Kind.FAIL,
                    0,
                    s * 1000.0,
                    TROUBLE_S * 1000.0,
                    1.0 / (2 * count),
                    0));
        }
        Scenario.Link plain = new Scenario.Link(0, 0, 0, 0);
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
                plain,
                plain,
                faults,
                List.of(new Scenario.Variant("demo", Deciders.BOXCAR.factory(), Map.of(), null)));
    }

    /** Runs to its end, or until its thread is interrupted, and tells what came of all. */
    void run() throws IOException {
        out.printf(
                "an edge at %s:%d before %d stand-in endpoints, its log in %s%n",
                testbed.address().getAddress().getHostAddress(),
                testbed.address().getPort(),
                testbed.endpointStatuses().size(),
                scratch.path());
        beganNanos = System.nanoTime();
        shownNanos = beganNanos;
        finish(testbed.play(this::show));
    }

    private static long count(List<ClientRequest> clientRequests, ClientRequest.End end) {
        return clientRequests.stream()
                .filter(clientRequest ->
                        !clientRequest.tries().isEmpty() && clientRequest.last().end() == end)
                .count();
    }

    /** The table: drawn anew on a terminal, a line a second elsewhere. */
    private void show(Supplier<List<ClientRequest>> asked) {
        if (System.nanoTime() - shownNanos < SECOND_NANOS) {
            return;
        }
        shownNanos += SECOND_NANOS;
        List<ClientRequest> clientRequests = asked.get();
        List<Testbed.EndpointStatus> endpointStatuses = testbed.endpointStatuses();
        long seconds = Math.round((System.nanoTime() - beganNanos) / 1e9);
        long served = count(clientRequests, ClientRequest.End.SERVED);
        long refused = count(clientRequests, ClientRequest.End.REFUSED);
        long failed = count(clientRequests, ClientRequest.End.FAILED);
        int attempts = endpointStatuses.stream()
                .mapToInt(Testbed.EndpointStatus::attempts)
                .sum();
        if (!terminal) {
            StringBuilder each = new StringBuilder();
            endpointStatuses.forEach(
                    of -> each.append(String.format(Locale.ROOT, "  %s %d%s", of.id(), of.attempts(), word(of))));
            out.printf(
                    Locale.ROOT,
                    "%3d s  served %d  refused %d  failed %d  attempts %d |%s%n",
                    seconds,
                    served,
                    refused,
                    failed,
                    attempts,
                    each);
        } else {
            // Up to the table's first line, and over it.
            out.print(lines > 0 ? "\u001b[" + lines + "A\u001b[J" : "");
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
            endpointStatuses.forEach(
                    of -> out.printf(Locale.ROOT, "%-14s %8d requests%s%n", of.id(), of.attempts(), word(of)));
            lines = 2 + endpointStatuses.size();
        }
        out.flush();
    }

    private static String word(Testbed.EndpointStatus of) {
        return of.fault().isEmpty() ? "" : " (" + of.fault() + ")";
    }

    private void finish(RunResult run) {
        List<ClientRequest> clientRequests = run.requests();
        long served = count(clientRequests, ClientRequest.End.SERVED);
        long refused = count(clientRequests, ClientRequest.End.REFUSED);
        long failed = count(clientRequests, ClientRequest.End.FAILED);
        long none = clientRequests.size() - served - refused - failed;
        long retried = run.recorder().attempts().size()
                - run.recorder().attempts().stream()
                        .map(AttemptRecorder.Attempt::request)
                        .distinct()
                        .count();
        Histogram micros = new Histogram(MOST_MICROS, 3);
        clientRequests.stream()
                .filter(clientRequest -> !Double.isNaN(clientRequest.servedMs()))
                .forEach(clientRequest -> micros.recordValue(Math.min(
                        MOST_MICROS, Math.round((clientRequest.servedMs() - clientRequest.arrivedMs()) * 1000))));
        sound = none == 0 && served > 0 && run.violations().isEmpty();
        out.printf(
                Locale.ROOT,
                "%n%d requests: %d served, %d refused, %d failed, %d without an answer; " + "%d retried%n",
                clientRequests.size(),
                served,
                refused,
                failed,
                none,
                retried);
        out.printf(
                Locale.ROOT,
                "served within %.1f ms (half of them), %.1f ms (99 in 100), %.1f ms (all)%n",
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3,
                micros.getMaxValue() / 1e3);
        run.violations().forEach(rule -> out.println("rule broken: " + rule));
        out.flush();
    }

    /** Whether each request had exactly one answer, some were served and no rule was broken. */
    boolean isSound() {
        return sound;
    }

    @Override
    public void close() throws IOException {
        testbed.close();
        scratch.close();
    }
}
