package lemonrail.lab.cli;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import lemonrail.lab.load.Loads;
import lemonrail.lab.load.OpenLoop;
import lemonrail.lab.model.Arrivals;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code load}: a load in an open loop on anything that speaks HTTP/1.1. */
@Command(
        name = "load",
        description = "Send requests when they are due, answered or not, and time them from "
                + "then on. Ends with 1 where the run is void: the generator itself was late.")
public final class LoadCommand implements Callable<Integer> {

    private static final int MOST_RATE = 1_000_000;
    private static final Map<String, Double> PERCENTILES = new LinkedHashMap<>();

    static {
        PERCENTILES.put("p50", 50.0);
        PERCENTILES.put("p90", 90.0);
        PERCENTILES.put("p99", 99.0);
        PERCENTILES.put("p99.9", 99.9);
        PERCENTILES.put("all", 100.0);
    }

    @Parameters(paramLabel = "URL", description = "as in http://127.0.0.1:9000/api")
    private URI url;

    @Option(names = "--rate", paramLabel = "N", required = true, description = "requests a second")
    private double rate;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            converter = Times.class,
            defaultValue = "30s",
            description = "for how long requests are sent (default: ${DEFAULT-VALUE})")
    private double lengthMs;

    @Option(
            names = "--warm-up",
            paramLabel = "TIME",
            converter = Times.class,
            defaultValue = "2s",
            description = "at the beginning, which does not count (default: ${DEFAULT-VALUE})")
    private double warmUpMs;

    @Option(
            names = "--timeout",
            paramLabel = "TIME",
            converter = Times.class,
            defaultValue = "10s",
            description =
                    "after which a request is given up; goes out as X-Deadline-Ms (default: " + "${DEFAULT-VALUE})")
    private double timeoutMs;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "1000",
            description = "open at once at most (default: ${DEFAULT-VALUE})")
    private int connections;

    @Option(names = "--even", description = "evenly, and not as a Poisson process")
    private boolean even;

    @Option(names = "--class", paramLabel = "NAME", description = "goes out as X-Class")
    private String className;

    @Option(names = "--tenant", paramLabel = "NAME", description = "goes out as X-Tenant")
    private String tenant;

    @Option(names = "--keyed", description = "POST with an Idempotency-Key, and not GET")
    private boolean keyed;

    @Option(names = "--header", paramLabel = "NAME=VALUE", description = "one more; may be given again")
    private Map<String, String> headers = new LinkedHashMap<>();

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "of the times of the requests (default: ${DEFAULT-VALUE})")
    private long seed;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        if (url.getScheme() == null || !url.getScheme().equals("http") || url.getHost() == null) {
            throw new IllegalArgumentException("URL " + url + ": must be as in http://127.0.0.1:9000/api");
        }
        if (!(rate > 0 && rate <= MOST_RATE)) {
            throw new IllegalArgumentException("--rate " + rate + ": must be above 0 and at most " + MOST_RATE);
        }
        OpenLoop.Plan plan = new OpenLoop.Plan(
                rate,
                lengthMs,
                warmUpMs,
                connections,
                timeoutMs,
                even ? Arrivals.Spacing.EVEN : Arrivals.Spacing.POISSON);
        if (plan.warmUpMs() >= plan.lengthMs()) {
            throw new IllegalArgumentException(
                    "--warm-up " + warmUpMs + " ms: must be below --for, which is " + lengthMs + " ms");
        }
        Map<String, String> all = new LinkedHashMap<>();
        all.put("X-Deadline-Ms", String.valueOf((long) plan.timeoutMs()));
        if (className != null) {
            all.put("X-Class", className);
        }
        if (tenant != null) {
            all.put("X-Tenant", tenant);
        }
        all.putAll(headers);
        String path = url.getRawPath().isEmpty() ? "/" : url.getRawPath();
        PrintWriter out = spec.commandLine().getOut();
        try (Interrupts interrupts = new Interrupts();
                Loads loads = new Loads()) {
            OpenLoop.Result result = loads.play(
                    address(),
                    plan,
                    seed,
                    Loads.requests(
                            keyed ? HttpMethod.POST : HttpMethod.GET,
                            url.getAuthority(),
                            url.getRawQuery() == null ? path : path + "?" + url.getRawQuery(),
                            all,
                            keyed,
                            System.nanoTime()));
            tell(out, result);
            return result.isVoid() || result.sent() == 0 ? 1 : 0;
        }
    }

    private InetSocketAddress address() throws UnknownHostException {
        return new InetSocketAddress(InetAddress.getByName(url.getHost()), url.getPort() < 0 ? 80 : url.getPort());
    }

    private static void tell(PrintWriter out, OpenLoop.Result result) {
        out.printf(
                Locale.ROOT,
                "sent %d (%.1f a second): served %d, refused %d, failed %d, no whole answer " + "%d%n",
                result.sent(),
                result.sent() / result.durationMs() * 1000,
                result.served(),
                result.refused(),
                result.failed(),
                result.lost());
        if (result.served() > 0) {
            StringBuilder line = new StringBuilder("served within (ms, from when it was due):");
            PERCENTILES.forEach((name, percentile) ->
                    line.append(String.format(Locale.ROOT, "  %s %.2f", name, result.percentileMs(percentile))));
            out.println(line);
        }
        out.printf(
                Locale.ROOT,
                "the generator: sent late by %.2f ms (99 in 100) and %.2f ms (all), %d "
                        + "connections, %d requests waited for one%n",
                result.late99Ms(),
                result.maxLateMs(),
                result.maxOpenConnections(),
                result.waited());
        if (result.isVoid()) {
            out.println("VOID: the generator could not keep up; these figures are its own");
        }
        out.flush();
    }
}
