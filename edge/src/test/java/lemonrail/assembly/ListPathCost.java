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
 * What a change of the list costs a sidecar from its bytes to the decider, in microseconds of processor time
 * by how many endpoints are listed; a table by {@link #main}. Each change is one entry.
 * The connection to discovery is left out: what comes on it doesn't depend on how many are listed.
 */
public final class ListPathCost implements AutoCloseable {

    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final int[] LISTED = {10, 100, 1000, 5000};
    private static final int STEADY = 100;
    private static final int STORM = 1000;
    private static final EndpointList.Names NAMES =
            new EndpointList.Names(List.of("a", "b", "c", "d", "e", "f", "g"), List.of("m"));

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final int listed;
    private final Upstream<RequestMessage, UpstreamResponse> upstream;
    private final SuspendedEndpoints suspensions;
    private final RequestDispatcher<RequestMessage, UpstreamResponse> exchange;
    private final String[] states;
    private final Random random = new Random(5);
    private int version = 1;
    private double readNs;
    private double upstreamNs;
    private double shownNs;

    ListPathCost(int listed, Path kept) throws IOException {
        this.listed = listed;
        states = new String[listed];
        Arrays.fill(states, "in_service");
        Clock clock = new Clock();
        EventLog silent = new EventLog(clock, new TextSink(new PrintStream(OutputStream.nullOutputStream())));
        EventLoopContext shard = new EventLoopContext(
                group.next(),
                clock,
                silent,
                new Metrics(List.of("read")),
                new BufferBudget(Long.MAX_VALUE),
                new Lifecycle(() -> true),
                settings(listed),
                15_000);
        upstream = new Http1Protocol().createUpstream(shard, 64);
        suspensions = new SuspendedEndpoints(kept, silent);
        exchange = new RequestDispatcher<>(
                shard, upstream, suspensions, BoxcarLoadBalancer::new, 1, parse(all()), () -> {});
    }

    /** Prints the table of one run. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("list-path");
        System.out.println("listed  us/change at 20/s: all  (read, endpoints' pool, suspensions)"
                + "  all at 500/s  us of a list of all");
        for (int listed : LISTED) {
            try (ListPathCost path = new ListPathCost(listed, folder.resolve("suspended-" + listed))) {
                path.changes(STORM, 0);
                double storm = path.changes(STORM, 2);
                double steady = path.changes(STEADY, 50);
                System.out.printf(
                        Locale.ROOT,
                        "%6d %22.1f  (%.1f, %.1f, %.1f) %25.1f %20.0f%n",
                        listed,
                        steady,
                        path.readNs / 1000,
                        path.upstreamNs / 1000,
                        path.shownNs / 1000,
                        storm,
                        path.whole(20));
            }
        }
    }

    /** No connection is ever opened here, so the parts are called from outside their event loop. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    int endpoints() {
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

    private String line(int which) {
        return "{\"id\":\"s-" + Integer.toHexString(which * 7919 + 1) + "\",\"addr\":\"127.0." + which / 250
                + "." + (1 + which % 250) + ":9000\",\"zone\":\""
                + NAMES.zones().get(which % 7)
                + "\",\"kind\":\"m\",\"cell\":0,\"state\":\"" + states[which]
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    private byte[] list(boolean full, List<String> lines) {
        return ("{\"version\":" + version++ + ",\"full\":" + full + ",\"servers\":[" + String.join(",", lines) + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] all() {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < listed; i++) {
            lines.add(line(i));
        }
        return list(true, lines);
    }

    private static EndpointList parse(byte[] json) throws IOException {
        return EndpointList.parse(json, NAMES);
    }

    /** Microseconds for each change, the parts of the way left in the fields. */
    double changes(int count, long everyMs) throws IOException, InterruptedException {
        double spentNs = 0;
        readNs = 0;
        upstreamNs = 0;
        shownNs = 0;
        for (int i = 0; i < count; i++) {
            Thread.sleep(everyMs);
            int which = random.nextInt(listed);
            states[which] = states[which].equals("in_service") ? "terminating" : "in_service";
            byte[] json = list(false, List.of(line(which)));
            long began = CPU.getCurrentThreadCpuTime();
            EndpointList change = parse(json);
            long read = CPU.getCurrentThreadCpuTime();
            exchange.listed(change);
            long told = CPU.getCurrentThreadCpuTime();
            // Once more apart, which changes nothing.
            upstream.updateEndpoints(change);
            long updated = CPU.getCurrentThreadCpuTime();
            suspensions.show(EndpointUpdateKind.DELTA, change.servers());
            long shown = CPU.getCurrentThreadCpuTime();
            spentNs += told - began;
            readNs += (read - began) / (double) count;
            upstreamNs += (updated - told) / (double) count;
            shownNs += (shown - updated) / (double) count;
        }
        return spentNs / count / 1000;
    }

    /** Microseconds for each of so many whole lists in which nothing has changed, after as many more. */
    double whole(int lists) throws IOException {
        double spentNs = 0;
        for (int i = 0; i < 2 * lists; i++) {
            byte[] json = all();
            long began = CPU.getCurrentThreadCpuTime();
            exchange.listed(parse(json));
            spentNs += i < lists ? 0 : CPU.getCurrentThreadCpuTime() - began;
        }
        return spentNs / lists / 1000;
    }
}
