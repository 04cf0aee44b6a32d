package lemonrail.lab;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemonrail.assembly.Sidecar;
import lemonrail.config.ConfigSource;
import lemonrail.config.EdgeConfig;
import lemonrail.config.Loaded;
import lemonrail.core.Contract.Server;
import lemonrail.core.Contract.State;
import lemonrail.discovery.ServerList;
import lemonrail.http1.Http1;
import lemonrail.logging.BoundedSink;
import lemonrail.logging.LogSink;
import lemonrail.logging.TextSink;

/** An edge in this process, before stand-in endpoints, with a steady stream of requests and a live table. */
final class Demo implements AutoCloseable {

    private static final int SECOND_MS = 1000;
    /** One endpoint is in trouble once in so many seconds, from the first of these on and for so many. */
    private static final int TROUBLE_EVERY_S = 5;
    private static final int TROUBLE_AT_S = 1;
    private static final int TROUBLE_S = 2;
    /** How long the last answers are waited for, beyond the longest deadline. */
    private static final int SLACK_MS = 1000;

    private final PrintWriter out;
    private final boolean terminal;
    private final boolean calm;
    private final SplittableRandom random;
    private final Path folder = Files.createTempDirectory("lemonrail-demo");
    private final LogSink log;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
        new DefaultThreadFactory("demo", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final Repeats repeats = new Repeats();
    private final List<StandIn> endpoints = new ArrayList<>();
    private final Sidecar edge;
    private final Trickle trickle;
    private final double longestMs;
    private final CountDownLatch over = new CountDownLatch(1);
    private boolean finished;
    private boolean sound;
    private long began;
    private int lines;

    Demo(Path file, int rate, int count, long seed, boolean calm, PrintWriter out, boolean terminal)
            throws IOException, InterruptedException {
        this.out = out;
        this.terminal = terminal;
        this.calm = calm;
        random = new SplittableRandom(seed);
        // The table and the log would tear each other up on a terminal: there the log goes to a file.
        log = new BoundedSink(new TextSink(terminal
            ? new PrintStream(Files.newOutputStream(folder.resolve("log"))) : System.err),
            BoundedSink.USUAL_WAITING);
        EdgeConfig given = ConfigSource.of(file, Map.of()).load().config();
        for (int i = 1; i <= count; i++) {
            endpoints.add(new StandIn(group, "stand-in-" + i, random.nextLong(), repeats));
        }
        EdgeConfig config = here(given);
        longestMs = config.settings().classes().stream()
            .mapToDouble(kind -> kind.deadlineMs()).max().orElse(0);
        Loaded loaded = new Loaded(config, List.of());
        edge = Sidecar.create(new Http1(), new Fixed(file, loaded), loaded, log);
        edge.open();
        trickle = new Trickle(loop, edge.address(), config.settings().classes(), config.settings().tenants(),
            rate);
    }

    /** The same configuration, at a free port and before the stand-ins. */
    private EdgeConfig here(EdgeConfig given) {
        List<ServerList.Entry> entries = endpoints.stream().map(endpoint -> new ServerList.Entry(
            new Server(endpoint.name(), given.settings().ownZone(), 0, 0, 0, State.READY, 1),
            endpoint.address())).toList();
        InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new EdgeConfig("demo", List.of(free), null, null, folder, given.seed(), given.memoryMb(),
            given.sockets(), given.idleCloseMs(), given.names(), new ServerList(0, true, entries),
            given.settings(), given.logging());
    }

    private record Fixed(Path file, Loaded loaded) implements ConfigSource {
        @Override
        public Loaded load() {
            return loaded;
        }
    }

    /** Runs for so long, or until {@link #finish} is called from elsewhere. */
    void run(Duration length) throws InterruptedException {
        out.printf("an edge at %s before %d stand-in endpoints%s%n", plain(edge.address()), endpoints.size(),
            terminal ? ", its log at " + folder.resolve("log") : "");
        began = System.nanoTime();
        trickle.start();
        long left = length.toMillis();
        for (int second = 1; left > 0; second++) {
            if (over.await(Math.min(left, SECOND_MS), TimeUnit.MILLISECONDS)) {
                return;
            }
            left -= SECOND_MS;
            show();
            disturb(second);
        }
    }

    private static String plain(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void disturb(int second) {
        if (calm) {
            return;
        }
        int phase = second % TROUBLE_EVERY_S;
        if (phase == TROUBLE_AT_S) {
            boolean silent = second / TROUBLE_EVERY_S % 2 == 1;
            endpoints.get(random.nextInt(endpoints.size()))
                .trouble(silent ? StandIn.Trouble.SILENT : StandIn.Trouble.FAILING);
        } else if (phase == TROUBLE_AT_S + TROUBLE_S) {
            endpoints.forEach(endpoint -> endpoint.trouble(StandIn.Trouble.NONE));
        }
    }

    private Trickle.Count count() {
        return loop.submit(trickle::count).syncUninterruptibly().getNow();
    }

    /** The table: drawn anew on a terminal, a line a second elsewhere. */
    private void show() {
        Trickle.Count count = count();
        StringBuilder each = new StringBuilder();
        for (StandIn endpoint : endpoints) {
            each.append(String.format(Locale.ROOT, "  %s %d%s", endpoint.name(), endpoint.requests(),
                word(endpoint)));
        }
        if (!terminal) {
            out.printf(Locale.ROOT, "%3d s  served %d  refused %d  failed %d  retried %d |%s%n", seconds(),
                count.served(), count.refused(), count.failed(), repeats.count(), each);
        } else {
            // Up to the table's first line, and over it.
            out.print(lines > 0 ? "\u001b[" + lines + "A\u001b[J" : "");
            out.printf(Locale.ROOT, "%-14s %8s %8s %8s %8s%n%-14s %8d %8d %8d %8d%n", "after", "served",
                "refused", "failed", "retried", seconds() + " s", count.served(), count.refused(),
                count.failed(), repeats.count());
            endpoints.forEach(endpoint -> out.printf(Locale.ROOT, "%-14s %8d requests%s%n", endpoint.name(),
                endpoint.requests(), word(endpoint)));
            lines = 2 + endpoints.size();
        }
        out.flush();
    }

    private static String word(StandIn endpoint) {
        return endpoint.trouble() == StandIn.Trouble.NONE ? ""
            : " (" + endpoint.trouble().name().toLowerCase(Locale.ROOT) + ")";
    }

    private long seconds() {
        return Math.round((System.nanoTime() - began) / 1e9);
    }

    /** Ends the stream, waits for the last answers and tells what came of all. */
    synchronized void finish() {
        over.countDown();
        if (finished) {
            return;
        }
        finished = true;
        endpoints.forEach(endpoint -> endpoint.trouble(StandIn.Trouble.NONE));
        loop.submit(trickle::stop).syncUninterruptibly();
        long until = System.nanoTime() + (long) ((longestMs + SLACK_MS) * 1e6);
        Trickle.Count count = count();
        while (count.ended() < count.sent() && System.nanoTime() < until) {
            pause();
            count = count();
        }
        edge.terminate();
        sound = count.ended() == count.sent() && count.lost() == 0 && count.served() > 0;
        out.printf(Locale.ROOT, "%n%d requests: %d served, %d refused, %d failed, %d without an answer; "
            + "%d retried%n", count.sent(), count.served(), count.refused(), count.failed(),
            count.sent() - count.ended() + count.lost(), repeats.count());
        out.printf(Locale.ROOT, "served within %.1f ms (half of them), %.1f ms (99 in 100), %.1f ms (all)%n",
            trickle.micros().getValueAtPercentile(50) / 1e3, trickle.micros().getValueAtPercentile(99) / 1e3,
            trickle.micros().getMaxValue() / 1e3);
        out.flush();
    }

    private static void pause() {
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether each request had exactly one answer, and some were served. */
    boolean isSound() {
        return sound;
    }

    @Override
    public void close() {
        log.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
