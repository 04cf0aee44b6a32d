package lemonrail.assembly;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import lemonrail.core.policy.BoxcarLoadBalancer;
import lemonrail.discovery.EndpointList;
import lemonrail.discovery.EndpointListReader;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;
import lemonrail.http1.Http1Protocol;
import lemonrail.http1.RequestMessage;
import lemonrail.http1.UpstreamResponse;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.logging.TextSink;
import lemonrail.metrics.Metrics;
import lemonrail.streaming.BufferBudget;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.time.Clock;

/**
 * Measures the cost of a delta of one endpoint, from its bytes to the load balancer, in microseconds of processor
 * time by the number of endpoints listed; {@link #main} prints a table. The connection to discovery is left out: its
 * cost does not depend on that number.
 */
public final class ListPathCost implements AutoCloseable {

    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final int[] LISTED_COUNTS = {10, 100, 1000, 5000};
    private static final int STEADY_CHANGES = 100;
    private static final int STORM_CHANGES = 1000;
    private static final EndpointList.Names NAMES =
            new EndpointList.Names(List.of("a", "b", "c", "d", "e", "f", "g"), List.of("m"));

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final int listed;
    private final Upstream<RequestMessage, UpstreamResponse> upstream;
    private final SuspendedEndpoints suspensions;
    private final RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher;
    private final String[] states;
    private final Random random = new Random(5);
    private int version = 1;
    private double parseNs;
    private double upstreamNs;
    private double suspensionsNs;

    ListPathCost(int listed, Path suspensionFile) throws IOException {
        this.listed = listed;
        states = new String[listed];
        Arrays.fill(states, "in_service");
        Clock clock = new Clock();
        EventLog silent = new EventLog(clock, new TextSink(new PrintStream(OutputStream.nullOutputStream())));
        EventLoopContext context = new EventLoopContext(
                group.next(),
                clock,
                silent,
                new Metrics(List.of("read")),
                new BufferBudget(Long.MAX_VALUE),
                new Lifecycle(() -> true),
                settings(listed),
                15_000);
        upstream = new Http1Protocol().createUpstream(context, 64);
        suspensions = new SuspendedEndpoints(suspensionFile, silent);
        dispatcher = new RequestDispatcher<>(
                context, upstream, suspensions, BoxcarLoadBalancer::new, 1, parse(fullListJson()), () -> {});
    }

    /** Prints the table of one run. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("list-path");
        System.out.println("listed  us/change at 20/s: all  (read, endpoints' pool, suspensions)"
                + "  all at 500/s  us of a list of all");
        for (int listed : LISTED_COUNTS) {
            try (ListPathCost path = new ListPathCost(listed, folder.resolve("suspended-" + listed))) {
                path.changes(STORM_CHANGES, 0);
                double storm = path.changes(STORM_CHANGES, 2);
                double steady = path.changes(STEADY_CHANGES, 50);
                System.out.printf(
                        Locale.ROOT,
                        "%6d %22.1f  (%.1f, %.1f, %.1f) %25.1f %20.0f%n",
                        listed,
                        steady,
                        path.parseNs / 1000,
                        path.upstreamNs / 1000,
                        path.suspensionsNs / 1000,
                        storm,
                        path.fullSnapshots(20));
            }
        }
    }

    /** No connection is ever opened here, so the parts can be called from outside their event loop. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    int endpointCount() {
        return upstream.endpointCount();
    }

    private static BalancerSettings settings(int balancers) {
        return new BalancerSettings(
                balancers,
                3,
                0,
                0,
                false,
                true,
                0.1,
                0,
                List.of(new RequestClass(
                        "read", 1000, 3000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false)),
                List.of(),
                new AttemptLimits(3, true, true, 2000, 200),
                new SlowStartSettings(0.3, 8000, 3, 1000),
                new DrainSettings(1000),
                10_000);
    }

    private String endpointJson(int index) {
        return "{\"id\":\"s-" + Integer.toHexString(index * 7919 + 1) + "\",\"addr\":\"127.0." + index / 250
                + "." + (1 + index % 250) + ":9000\",\"zone\":\""
                + NAMES.zones().get(index % 7)
                + "\",\"kind\":\"m\",\"cell\":0,\"state\":\"" + states[index]
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    private byte[] listJson(boolean full, List<String> endpoints) {
        return ("{\"version\":" + version++ + ",\"full\":" + full + ",\"servers\":[" + String.join(",", endpoints)
                        + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] fullListJson() {
        List<String> endpoints = new ArrayList<>();
        for (int i = 0; i < listed; i++) {
            endpoints.add(endpointJson(i));
        }
        return listJson(true, endpoints);
    }

    private static EndpointList parse(byte[] json) throws IOException {
        return EndpointListReader.parse(json, NAMES);
    }

    /** Returns the microseconds for each change, and leaves those of the parts in the fields. */
    double changes(int count, long everyMs) throws IOException, InterruptedException {
        double spentNs = 0;
        parseNs = 0;
        upstreamNs = 0;
        suspensionsNs = 0;
        for (int i = 0; i < count; i++) {
            Thread.sleep(everyMs);
            int index = random.nextInt(listed);
            states[index] = states[index].equals("in_service") ? "terminating" : "in_service";
            byte[] json = listJson(false, List.of(endpointJson(index)));
            long startNs = CPU.getCurrentThreadCpuTime();
            EndpointList change = parse(json);
            long parsedNs = CPU.getCurrentThreadCpuTime();
            dispatcher.onEndpointList(change);
            long appliedNs = CPU.getCurrentThreadCpuTime();
            // The parts again by themselves, which changes nothing.
            upstream.updateEndpoints(change);
            long updatedNs = CPU.getCurrentThreadCpuTime();
            suspensions.applyUpdate(EndpointUpdateKind.DELTA, change.endpoints());
            long suspendedNs = CPU.getCurrentThreadCpuTime();
            spentNs += appliedNs - startNs;
            parseNs += (parsedNs - startNs) / (double) count;
            upstreamNs += (updatedNs - appliedNs) / (double) count;
            suspensionsNs += (suspendedNs - updatedNs) / (double) count;
        }
        return spentNs / count / 1000;
    }

    /** Returns the microseconds for each of some full snapshots without a change, after as many to warm up. */
    double fullSnapshots(int lists) throws IOException {
        double spentNs = 0;
        for (int i = 0; i < 2 * lists; i++) {
            byte[] json = fullListJson();
            long startNs = CPU.getCurrentThreadCpuTime();
            dispatcher.onEndpointList(parse(json));
            spentNs += i < lists ? 0 : CPU.getCurrentThreadCpuTime() - startNs;
        }
        return spentNs / lists / 1000;
    }
}
