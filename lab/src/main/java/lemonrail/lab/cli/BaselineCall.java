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
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
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

    private static final int READY_MS = 30_000;
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

    @Option(names = "--for", paramLabel = "TIME", defaultValue = "8s",
        description = "each measurement (default: ${DEFAULT-VALUE}), a quarter of it to warm up")
    private String length;

    @Option(names = "--rounds", paramLabel = "N", defaultValue = "3",
        description = "measurements of each, in turn (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--endpoints", split = ",", paramLabel = "N", defaultValue = "10,100,500,2000",
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
    private Path folder;
    private PrintWriter out;

    /** A process that is measured. */
    private record Measured(Process process, InetSocketAddress at) implements AutoCloseable {
        double cpuMs() {
            return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
        }

        double residentMb() throws IOException {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
            return Double.NaN;
        }

        @Override
        public void close() {
            process.destroyForcibly();
        }
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        out = spec.commandLine().getOut();
        folder = Files.createTempDirectory("lemonrail-baseline");
        int most = endpoints.stream().mapToInt(count -> count).max().orElse(1);
        for (int i = 0; i < Math.max(1, most); i++) {
            plain.add(Plain.endpoint(group));
        }
        sideBySide();
        for (int count : endpoints) {
            try (Measured edge = edge(count)) {
                row(Baseline.Part.ENDPOINTS, "edge", edge, edge.at, count, USED, rate);
            }
        }
        try (Measured edge = edge(10)) {
            for (int count : connections) {
                List<Socket> held = hold(edge.at, count - Math.min(count, USED));
                row(Baseline.Part.CONNECTIONS, "edge", edge, edge.at, 10, count, rate);
                for (Socket socket : held) {
                    socket.close();
                }
            }
        }
        rows.keep(kept, Runner.version());
        out.println(kept.resolve("baseline.md"));
        return 0;
    }

    private void sideBySide() throws IOException, InterruptedException {
        try (Measured edge = edge(10); Measured relay = relay()) {
            for (int i = 0; i < rounds; i++) {
                row(Baseline.Part.SIDE_BY_SIDE, "direct", null, plain.get(0), 1, USED, rate);
                row(Baseline.Part.SIDE_BY_SIDE, "relay", relay, relay.at, 1, USED, rate);
                row(Baseline.Part.SIDE_BY_SIDE, "edge", edge, edge.at, 10, USED, rate);
            }
            if (!noRamp) {
                ramp("direct", null, plain.get(0));
                ramp("relay", relay, relay.at);
                ramp("edge", edge, edge.at);
            }
        }
    }

    /** Raises the rate until requests are not served, or late. */
    private void ramp(String what, Measured measured, InetSocketAddress at) throws IOException {
        for (double perSecond = RAMP_FIRST; perSecond <= RAMP_MOST; perSecond *= RAMP_GROWTH) {
            OpenLoop.Result result = row(Baseline.Part.RATE, what, measured, at,
                what.equals("edge") ? 10 : 1, RAMP_CONNECTIONS, perSecond);
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

    private OpenLoop.Result row(Baseline.Part part, String what, Measured measured, InetSocketAddress at,
            int count, int open, double perSecond) throws IOException {
        double lengthMs = Times.ms("--for", length);
        // Processor time counts over the whole run, so it is shared out over the warm-up's requests too.
        double before = measured == null ? Double.NaN : measured.cpuMs();
        OpenLoop.Result result = load(at, perSecond, lengthMs, open);
        double cpuUs = measured == null ? Double.NaN
            : (measured.cpuMs() - before) * 1000 / (perSecond * lengthMs / 1000);
        double rss = measured == null ? Double.NaN : measured.residentMb();
        Baseline.Row row = new Baseline.Row(part, what, count, open, perSecond, result.sent(),
            result.served(), result.percentileMs(50), result.percentileMs(99), result.percentileMs(99.9),
            cpuUs, rss, result.isVoid());
        rows.add(row);
        out.println(row.csv());
        out.flush();
        return result;
    }

    private OpenLoop.Result load(InetSocketAddress at, double perSecond, double lengthMs, int open) {
        try (Loads loads = new Loads()) {
            int most = Math.min(open, perSecond > rate ? RAMP_CONNECTIONS : USED);
            return loads.play(at, new OpenLoop.Plan(perSecond, lengthMs, lengthMs * WARM_UP_PART, most,
                TIMEOUT_MS, Arrivals.Spacing.POISSON), 1, Loads.requests(HttpMethod.GET, "lab", "/api",
                Map.of("X-Class", "quick", "X-Deadline-Ms", "5000"), false, System.nanoTime()), so -> { });
        }
    }

    private Measured relay() throws IOException {
        Process process = new ProcessBuilder(java(), "-XX:+UseSerialGC", "-cp",
            System.getProperty("java.class.path"), "lemonrail.lab.Main", "relay",
            String.valueOf(plain.get(0).getPort())).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        BufferedReader said = new BufferedReader(new InputStreamReader(process.getInputStream(),
            StandardCharsets.UTF_8));
        int port = Integer.parseInt(said.readLine().trim());
        return new Measured(process, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private Measured edge(int count) throws IOException, InterruptedException {
        InetSocketAddress at;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            at = (InetSocketAddress) free.getLocalSocketAddress();
        }
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
            """, count, folder, at.getPort()));
        for (int i = 0; i < count; i++) {
            file.append(String.format(Locale.ROOT,
                "[[endpoints]]%nid = \"e%d\"%naddress = \"127.0.0.1:%d\"%n", i, plain.get(i).getPort()));
        }
        Path config = Files.writeString(folder.resolve("edge-" + count + ".toml"), file);
        Path jar = Path.of(System.getProperty("lemonrail.home", "."), "edge", "target", "lemonrail.jar");
        Process process = new ProcessBuilder(java(), "-XX:+UseSerialGC", "-Xmx160m", "-jar", jar.toString(),
            "serve", "--config", config.toString()).redirectErrorStream(true)
            .redirectOutput(folder.resolve("edge-" + count + ".log").toFile()).start();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (true) {
            try (Socket up = new Socket(at.getAddress(), at.getPort())) {
                return new Measured(process, at);
            } catch (IOException e) {
                if (System.nanoTime() > until || !process.isAlive()) {
                    process.destroyForcibly();
                    throw new IOException("the edge does not listen; see " + folder, e);
                }
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }
}
