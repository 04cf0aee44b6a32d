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

/** {@code load}: generates open-loop load on any HTTP/1.1 server. */
@Command(
        name = "load",
        description = "Send requests at their due times without waiting for responses, and measure latency from "
                + "the due times. Exits with 1 if nothing was sent or the run is void because the generator was late.")
public final class LoadCommand implements Callable<Integer> {

    private static final int MAX_RATE = 1_000_000;
    private static final Map<String, Double> PERCENTILES = new LinkedHashMap<>();

    static {
        PERCENTILES.put("p50", 50.0);
        PERCENTILES.put("p90", 90.0);
        PERCENTILES.put("p99", 99.0);
        PERCENTILES.put("p99.9", 99.9);
        PERCENTILES.put("all", 100.0);
    }

    @Parameters(paramLabel = "URL", description = "for example http://127.0.0.1:9000/api")
    private URI url;

    @Option(names = "--rate", paramLabel = "N", required = true, description = "requests per second")
    private double rate;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            converter = DurationConverter.class,
            defaultValue = "30s",
            description = "how long requests are sent, including the warm-up (default: ${DEFAULT-VALUE})")
    private double lengthMs;

    @Option(
            names = "--warm-up",
            paramLabel = "TIME",
            converter = DurationConverter.class,
            defaultValue = "2s",
            description = "time at the start that is excluded from the results (default: ${DEFAULT-VALUE})")
    private double warmUpMs;

    @Option(
            names = "--timeout",
            paramLabel = "TIME",
            converter = DurationConverter.class,
            defaultValue = "10s",
            description =
                    "time after which a request is given up; sent as X-Deadline-Ms (default: " + "${DEFAULT-VALUE})")
    private double timeoutMs;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "1000",
            description = "maximum number of open connections (default: ${DEFAULT-VALUE})")
    private int connections;

    @Option(names = "--even", description = "send requests at equal intervals instead of as a Poisson process")
    private boolean even;

    @Option(names = "--class", paramLabel = "NAME", description = "request class, sent as X-Class")
    private String className;

    @Option(names = "--tenant", paramLabel = "NAME", description = "tenant, sent as X-Tenant")
    private String tenant;

    @Option(names = "--keyed", description = "send POST requests with an Idempotency-Key instead of GET requests")
    private boolean keyed;

    @Option(names = "--header", paramLabel = "NAME=VALUE", description = "additional header; may be repeated")
    private Map<String, String> headers = new LinkedHashMap<>();

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "seed of the random request times (default: ${DEFAULT-VALUE})")
    private long seed;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        if (url.getScheme() == null || !url.getScheme().equals("http") || url.getHost() == null) {
            throw new IllegalArgumentException(
                    "URL " + url + ": must be an HTTP URL such as http://127.0.0.1:9000/api");
        }
        if (!(rate > 0 && rate <= MAX_RATE)) {
            throw new IllegalArgumentException("--rate " + rate + ": must be above 0 and at most " + MAX_RATE);
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
        Map<String, String> requestHeaders = new LinkedHashMap<>();
        requestHeaders.put("X-Deadline-Ms", String.valueOf((long) plan.timeoutMs()));
        if (className != null) {
            requestHeaders.put("X-Class", className);
        }
        if (tenant != null) {
            requestHeaders.put("X-Tenant", tenant);
        }
        requestHeaders.putAll(headers);
        String path = url.getRawPath().isEmpty() ? "/" : url.getRawPath();
        PrintWriter output = spec.commandLine().getOut();
        try (ShutdownInterrupter interrupter = new ShutdownInterrupter();
                Loads loads = new Loads()) {
            OpenLoop.Result result = loads.play(
                    address(),
                    plan,
                    seed,
                    Loads.requests(
                            keyed ? HttpMethod.POST : HttpMethod.GET,
                            url.getAuthority(),
                            url.getRawQuery() == null ? path : path + "?" + url.getRawQuery(),
                            requestHeaders,
                            keyed,
                            System.nanoTime()));
            printResult(output, result);
            return result.isVoid() || result.sent() == 0 ? 1 : 0;
        }
    }

    private InetSocketAddress address() throws UnknownHostException {
        return new InetSocketAddress(InetAddress.getByName(url.getHost()), url.getPort() < 0 ? 80 : url.getPort());
    }

    private static void printResult(PrintWriter output, OpenLoop.Result result) {
        output.printf(
                Locale.ROOT,
                "sent %d (%.1f per second): served %d, refused %d, failed %d, no complete response " + "%d%n",
                result.sent(),
                result.sent() / result.durationMs() * 1000,
                result.served(),
                result.refused(),
                result.failed(),
                result.lost());
        if (result.served() > 0) {
            StringBuilder latencies = new StringBuilder("latency of served requests (ms, from their due times):");
            PERCENTILES.forEach((name, percentile) ->
                    latencies.append(String.format(Locale.ROOT, "  %s %.2f", name, result.percentileMs(percentile))));
            output.println(latencies);
        }
        output.printf(
                Locale.ROOT,
                "generator: sent late by %.2f ms (p99) and %.2f ms (maximum), %d "
                        + "connections, %d requests waited for a connection%n",
                result.late99Ms(),
                result.maxLateMs(),
                result.maxOpenConnections(),
                result.waited());
        if (result.isVoid()) {
            output.println("VOID: the generator could not keep up; the figures do not describe the server");
        }
        output.flush();
    }
}
