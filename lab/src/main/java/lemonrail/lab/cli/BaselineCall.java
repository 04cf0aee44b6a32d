package lemonrail.lab.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import lemonrail.lab.host.ChildProcess;
import lemonrail.lab.host.SidecarHost;
import lemonrail.lab.load.Loads;
import lemonrail.lab.load.OpenLoop;
import lemonrail.lab.load.Plain;
import lemonrail.lab.model.Arrivals;
import lemonrail.lab.report.Baseline;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * {@code baseline}: what the edge itself costs, side by side in one run: a direct call, a bare Netty relay
 * and the edge, each of the last two a process of its own on one event loop.
 */
@Command(name = "baseline", description = "Measure the edge's own cost beside a direct call and a relay.")
public final class BaselineCall implements Callable<Integer> {

    private static final int LEAST_ENDPOINTS = 10;
    /** A fixed list holds no more. */
    private static final int MOST_ENDPOINTS = 1024;
    private static final double TIMEOUT_MS = 5000;
    private static final double WARM_UP_PART = 0.4;
    /** Connections that are in use at most. */
    private static final int USED = 64;
    private static final double RAMP_GROWTH = 1.25;
    private static final double RAMP_KEEPS = 0.99;
    private static final double RAMP_P99_MS = 50;
    private static final double RAMP_FIRST = 2000;
    private static final int RAMP_CONNECTIONS = 512;
    private static final double RAMP_MOST = 60_000;

    @Option(names = "--out", paramLabel = "DIR", defaultValue = "lab-runs/baseline",
        description = "where tables and charts go (default: ${DEFAULT-VALUE})")
    private Path kept;

    @Option(names = "--rate", paramLabel = "N", defaultValue = "1000",
        description = "requests a second where cost is measured (default: ${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--for", paramLabel = "TIME", converter = Times.class, defaultValue = "8s",
        description = "each measurement (default: ${DEFAULT-VALUE}), a quarter of it to warm up")
    private double lengthMs;

    @Option(names = "--rounds", paramLabel = "N", defaultValue = "3",
        description = "measurements of each, in turn (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--endpoints", split = ",", paramLabel = "N", defaultValue = "10,100,500,1000",
        description = "numbers of endpoints (default: ${DEFAULT-VALUE})")
    private List<Integer> endpoints;

    @Option(names = "--connections", split = ",", paramLabel = "N", defaultValue = "10,100,1000,5000",
        description = "numbers of client connections (default: ${DEFAULT-VALUE})")
    private List<Integer> connections;

    @Option(names = "--no-ramp", description = "without the search for the maximum rate")
    private boolean noRamp;

    @Spec
    private CommandSpec spec;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2,
        new DefaultThreadFactory("endpoints", true), NioIoHandler.newFactory());
    private final List<InetSocketAddress> plain = new ArrayList<>();
    private final Baseline rows = new Baseline();
    private Path scratch;
    private PrintWriter out;

    /** What is measured: its address and, unless nobody is between, its cost. */
    private interface Measured extends AutoCloseable {
        InetSocketAddress address();

        double cpuMs();

        double residentMb() throws IOException;

        @Override
        void close();
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        out = spec.commandLine().getOut();
        int most = endpoints.stream().mapToInt(count -> count).max().orElse(1);
        if (most > MOST_ENDPOINTS) {
            throw new IllegalArgumentException("--endpoints " + most + ": an edge takes at most "
                + MOST_ENDPOINTS + " of a fixed list");
        }
        try (Interrupts interrupts = new Interrupts(); Scratch files = new Scratch()) {
            scratch = files.path();
            for (int i = 0; i < Math.max(LEAST_ENDPOINTS, most); i++) {
                plain.add(Plain.endpoint(group));
            }
            measure();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            rows.keep(kept, Runner.version());
        }
        out.println(kept.resolve("baseline.md"));
        return 0;
    }

    private void measure() throws IOException, InterruptedException {
        sideBySide();
        for (int count : endpoints) {
            try (SidecarHost edge = edge(count)) {
                row(Baseline.Part.ENDPOINTS, "edge", measured(edge), count, USED, rate);
            }
        }
        try (SidecarHost edge = edge(LEAST_ENDPOINTS)) {
            for (int count : connections) {
                List<Socket> held = hold(edge.address(), count - Math.min(count, USED));
                row(Baseline.Part.CONNECTIONS, "edge", measured(edge), LEAST_ENDPOINTS, count, rate);
                for (Socket socket : held) {
                    socket.close();
                }
            }
        }
    }

    private void sideBySide() throws IOException, InterruptedException {
        Measured direct = measured(plain.get(0), null);
        try (SidecarHost edge = edge(LEAST_ENDPOINTS); Measured relay = relay()) {
            for (int i = 0; i < rounds; i++) {
                row(Baseline.Part.SIDE_BY_SIDE, "direct", direct, 1, USED, rate);
                row(Baseline.Part.SIDE_BY_SIDE, "relay", relay, 1, USED, rate);
                row(Baseline.Part.SIDE_BY_SIDE, "edge", measured(edge), LEAST_ENDPOINTS, USED, rate);
            }
            if (!noRamp) {
                ramp("direct", direct, 1);
                ramp("relay", relay, 1);
                ramp("edge", measured(edge), LEAST_ENDPOINTS);
            }
        }
    }

    /** Raises the rate until requests are not served, or late. */
    private void ramp(String what, Measured measured, int count) throws IOException, InterruptedException {
        for (double perSecond = RAMP_FIRST; perSecond <= RAMP_MOST; perSecond *= RAMP_GROWTH) {
            OpenLoop.Result result = row(Baseline.Part.RATE, what, measured, count, RAMP_CONNECTIONS,
                perSecond);
            if (result.isVoid() || result.served() < result.sent() * RAMP_KEEPS
                    || result.percentileMs(99) > RAMP_P99_MS) {
                return;
            }
        }
    }

    /** Connections that are open and idle beside those in use. */
    private static List<Socket> hold(InetSocketAddress at, int count) throws IOException {
        List<Socket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            held.add(new Socket(at.getAddress(), at.getPort()));
        }
        return held;
    }

    private OpenLoop.Result row(Baseline.Part part, String what, Measured measured, int count, int open,
            double perSecond) throws IOException, InterruptedException {
        // Processor time counts over the whole run, so it is shared out over the warm-up's requests too.
        double before = measured.cpuMs();
        OpenLoop.Result result = load(measured.address(), perSecond, open);
        if (Thread.interrupted()) {
            throw new InterruptedException("interrupted; what was measured so far is in " + kept);
        }
        double cpuUs = (measured.cpuMs() - before) * 1000 / (perSecond * lengthMs / 1000);
        double rss = measured.residentMb();
        Baseline.Row row = new Baseline.Row(part, what, count, open, perSecond, result.sent(),
            result.served(), result.percentileMs(50), result.percentileMs(99), result.percentileMs(99.9),
            cpuUs, rss, result.isVoid());
        rows.add(row);
        out.println(row.csv());
        out.flush();
        return result;
    }

    private OpenLoop.Result load(InetSocketAddress at, double perSecond, int open) {
        try (Loads loads = new Loads()) {
            int most = Math.min(open, perSecond > rate ? RAMP_CONNECTIONS : USED);
            return loads.play(at, new OpenLoop.Plan(perSecond, lengthMs, lengthMs * WARM_UP_PART, most,
                TIMEOUT_MS, Arrivals.Spacing.POISSON), 1, Loads.requests(HttpMethod.GET, "lab", "/api",
                Map.of("X-Class", "quick", "X-Deadline-Ms", "5000"), false, System.nanoTime()));
        }
    }

    private static Measured measured(SidecarHost edge) {
        return new Measured() {
            @Override
            public InetSocketAddress address() {
                return edge.address();
            }

            @Override
            public double cpuMs() {
                return edge.cpuMs();
            }

            @Override
            public double residentMb() throws IOException {
                return edge.residentMb();
            }

            @Override
            public void close() {
                edge.close();
            }
        };
    }

    /** What listens at an address, in a process of its own or, where that is null, in this one. */
    private static Measured measured(InetSocketAddress at, ChildProcess child) {
        return new Measured() {
            @Override
            public InetSocketAddress address() {
                return at;
            }

            @Override
            public double cpuMs() {
                return child == null ? Double.NaN : child.cpuMs();
            }

            @Override
            public double residentMb() throws IOException {
                return child == null ? Double.NaN : child.residentMb();
            }

            @Override
            public void close() {
                if (child != null) {
                    child.close();
                }
            }
        };
    }

    private Measured relay() throws IOException {
        ChildProcess child = new ChildProcess(ChildProcess.java("-cp", System.getProperty("java.class.path"),
            "lemonrail.lab.Main", "relay", String.valueOf(plain.get(0).getPort()))
            .redirectError(ProcessBuilder.Redirect.DISCARD).start());
        String port = new BufferedReader(new InputStreamReader(child.process().getInputStream(),
            StandardCharsets.UTF_8)).readLine();
        if (port == null) {
            child.close();
            throw new IOException("the relay has ended while starting");
        }
        return measured(new InetSocketAddress(InetAddress.getLoopbackAddress(),
            Integer.parseInt(port.trim())), child);
    }

    private SidecarHost edge(int count) throws IOException, InterruptedException {
        InetSocketAddress at = SidecarHost.freePort();
        StringBuilder file = new StringBuilder(String.format(Locale.ROOT, """
            name = "edge-%d"
            state-dir = "%s"
            [[listeners]]
            address = "127.0.0.1:%d"
            [[classes]]
            name = "quick"
            effect = "repeatable"
            aim = "1s"
            deadline = "5s"
            [limits]
            memory = "192MiB"
            descriptors = 16384
            [logging]
            level = "warn"
            """, count, scratch, at.getPort()));
        for (int i = 0; i < count; i++) {
            file.append(String.format(Locale.ROOT,
                "[[endpoints]]%nid = \"e%d\"%naddress = \"127.0.0.1:%d\"%n", i, plain.get(i).getPort()));
        }
        Path config = Files.writeString(scratch.resolve("edge-" + count + ".toml"), file);
        Path jar = Path.of(System.getProperty("lemonrail.home", "."), "edge", "target", "lemonrail.jar");
        SidecarHost edge = SidecarHost.process(jar, config, Map.of(), at,
            scratch.resolve("edge-" + count + ".log"));
        edge.awaitReady();
        return edge;
    }
}
