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
 * Measures the processor time, in microseconds, of a delta with one endpoint from its bytes to the load balancer, for
 * several lengths of the endpoint list. {@link #main} prints a table. The connection to discovery is excluded because
 * its cost does not depend on the length of the list.
 */
public final class ListPathCost implements AutoCloseable {

    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final int[] LISTED_COUNTS = {10, 100, 1000, 5000};
    private static final int STEADY_DELTAS = 100;
    private static final int STORM_DELTAS = 1000;
    private static final EndpointList.Names NAMES =
            new EndpointList.Names(List.of("a", "b", "c", "d", "e", "f", "g"), List.of("m"));

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final int endpointsListed;
    private final Upstream<RequestMessage, UpstreamResponse> upstream;
    private final SuspendedEndpoints suspensions;
    private final RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher;
    private final String[] states;
    private final Random random = new Random(5);
    private int version = 1;
    private double parseNs;
    private double upstreamNs;
    private double suspensionsNs;

    ListPathCost(int endpointsListed, Path suspensionFile) throws IOException {
        this.endpointsListed = endpointsListed;
        states = new String[endpointsListed];
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
                settings(endpointsListed),
                15_000);
        upstream = new Http1Protocol().createUpstream(context, 64);
        suspensions = new SuspendedEndpoints(suspensionFile, silent);
        dispatcher = new RequestDispatcher<>(
                context, upstream, suspensions, BoxcarLoadBalancer::new, 1, parse(fullListJson()), () -> {});
    }

    /** Prints the table of one run. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("list-path");
        System.out.println("listed  us/delta at 20/s: total  (parsing, connection pools, suspensions)"
                + "  total at 500/s  us/full snapshot");
        for (int endpointsListed : LISTED_COUNTS) {
            try (ListPathCost path =
                    new ListPathCost(endpointsListed, folder.resolve("suspended-" + endpointsListed))) {
                path.applyDeltas(STORM_DELTAS, 0);
                double stormUs = path.applyDeltas(STORM_DELTAS, 2);
                double steadyUs = path.applyDeltas(STEADY_DELTAS, 50);
                System.out.printf(
                        Locale.ROOT,
                        "%6d %22.1f  (%.1f, %.1f, %.1f) %25.1f %20.0f%n",
                        endpointsListed,
                        steadyUs,
                        path.parseNs / 1000,
                        path.upstreamNs / 1000,
                        path.suspensionsNs / 1000,
                        stormUs,
                        path.applyFullSnapshots(20));
            }
        }
    }

    /** Stops the event loop. No connection is ever opened, so that other threads can call the parts as well. */
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
        for (int i = 0; i < endpointsListed; i++) {
            endpoints.add(endpointJson(i));
        }
        return listJson(true, endpoints);
    }

    private static EndpointList parse(byte[] json) throws IOException {
        return EndpointListReader.parse(json, NAMES);
    }

    /**
     * Applies deltas and returns the mean processor time of each, in microseconds; sets the fields with those of its
     * parts.
     */
    double applyDeltas(int count, long intervalMs) throws IOException, InterruptedException {
        double cpuNs = 0;
        parseNs = 0;
        upstreamNs = 0;
        suspensionsNs = 0;
        for (int i = 0; i < count; i++) {
            Thread.sleep(intervalMs);
            int index = random.nextInt(endpointsListed);
            states[index] = states[index].equals("in_service") ? "terminating" : "in_service";
            byte[] json = listJson(false, List.of(endpointJson(index)));
            long startNs = CPU.getCurrentThreadCpuTime();
            EndpointList delta = parse(json);
            long parsedNs = CPU.getCurrentThreadCpuTime();
            dispatcher.onEndpointList(delta);
            long appliedNs = CPU.getCurrentThreadCpuTime();
            // Each part is called once more by itself, which has no effect on the state.
            upstream.updateEndpoints(delta);
            long updatedNs = CPU.getCurrentThreadCpuTime();
            suspensions.applyUpdate(EndpointUpdateKind.DELTA, delta.endpoints());
            long suspendedNs = CPU.getCurrentThreadCpuTime();
            cpuNs += appliedNs - startNs;
            parseNs += (parsedNs - startNs) / (double) count;
            upstreamNs += (updatedNs - appliedNs) / (double) count;
            suspensionsNs += (suspendedNs - updatedNs) / (double) count;
        }
        return cpuNs / count / 1000;
    }

    /**
     * Returns the mean processor time of a full snapshot without changes, in microseconds, after as many for warm-up.
     */
    double applyFullSnapshots(int snapshots) throws IOException {
        double cpuNs = 0;
        for (int i = 0; i < 2 * snapshots; i++) {
            byte[] json = fullListJson();
            long startNs = CPU.getCurrentThreadCpuTime();
            dispatcher.onEndpointList(parse(json));
            cpuNs += i < snapshots ? 0 : CPU.getCurrentThreadCpuTime() - startNs;
        }
        return cpuNs / snapshots / 1000;
    }
}
