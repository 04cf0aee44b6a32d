package lemonrail.lab.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemonrail.config.EdgeConfig;
import lemonrail.core.Contract.Server;
import lemonrail.core.Contract.State;
import lemonrail.core.WatchPace;
import lemonrail.core.policy.Decide;
import lemonrail.discovery.DiscoveryClient;
import lemonrail.discovery.ServerList;
import lemonrail.exchange.Exchange;
import lemonrail.exchange.Shard;
import lemonrail.exchange.Upstream;
import lemonrail.http1.Answer;
import lemonrail.http1.Http1;
import lemonrail.http1.RequestMessage;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogEvent;
import lemonrail.logging.LogSink;
import lemonrail.logging.Severity;
import lemonrail.metrics.Metrics;
import lemonrail.streaming.Budget;
import lemonrail.suspension.Suspensions;
import lemonrail.time.Clock;

/**
 * The control side of a real sidecar, many of which share a process: the discovery client with a connection
 * of its own, the list, the suspensions, the exchange with its decider, the pool of endpoints' addresses, all
 * by settings that the real reader has read. It has no clients, no listeners, no operators' door, no warm-up
 * and no look round at its other process. Belongs to one event loop.
 */
final class HollowSidecar {

    private static final int CONNECTIONS = 64;
    private static final long BODIES_BYTES = 1 << 20;

    /** A list that has been taken in: when the decider had it, and of which version. */
    record Told(long atNanos, long version, boolean full) {
    }

    private final long bornNanos = System.nanoTime();
    private final EventLoop loop;
    private final String list;
    private final DiscoveryClient discovery;
    private final Upstream<RequestMessage, Answer> endpoints;
    private final Suspensions suspensions;
    private final Exchange<RequestMessage, Answer> exchange;
    /** Guarded by itself: the run reads it from its own thread. */
    private final List<Told> told = new ArrayList<>();

    /** One on its loop, which begins to watch at once; to be made on that loop. */
    HollowSidecar(EventLoop loop, EdgeConfig config, long seed, String list, InetSocketAddress control) {
        this.loop = loop;
        this.list = list;
        Clock clock = new Clock();
        EventLog log = new EventLog(clock, new Silence());
        Shard shard = new Shard(loop, clock, log, new Metrics(config.classNames()), new Budget(BODIES_BYTES),
            new Lifecycle(() -> true), config.settings(), config.idleCloseMs());
        suspensions = new Suspensions(config.kept("hollow"), log);
        discovery = new DiscoveryClient(loop, control, config.names(), config.known().version(),
            WatchPace.ofFleet(config.settings().balancers(), config.settings().rules().drainGraceMs(), seed),
            log);
        endpoints = new Http1().upstream(shard, CONNECTIONS);
        // Set before the exchange begins the watch.
        discovery.listen(this::take);
        exchange = new Exchange<>(shard, endpoints, suspensions, Decide::new, seed, config.known(),
            discovery::watch);
    }

    private void take(ServerList news) {
        exchange.listed(news);
        synchronized (told) {
            told.add(new Told(System.nanoTime(), news.version(), news.full()));
        }
    }

    /** The name of the list that it watches. */
    String list() {
        return list;
    }

    /** When it was made, by the monotonic clock. */
    long bornNanos() {
        return bornNanos;
    }

    EventLoop loop() {
        return loop;
    }

    /** All that it has been told so far. */
    List<Told> told() {
        synchronized (told) {
            return List.copyOf(told);
        }
    }

    /** Whether the decider's list is this one; to be asked on its loop. */
    boolean knows(Map<String, Line> lines) {
        List<Server> shown = suspensions.shown(lines.keySet());
        return suspensions.listed() == lines.size() && endpoints.size() == lines.size()
            && shown.size() == lines.size() && shown.stream().allMatch(server -> {
                Line line = lines.get(server.id());
                return server.state() == (line.state() == Line.State.IN_SERVICE ? State.READY
                    : State.DRAINING)
                    && server.startedMs() == line.startedMs() && server.weight() == line.weight();
            });
    }

    /** Goes on at another address, as a reload has it; on its loop. */
    void move(InetSocketAddress control) {
        discovery.move(control);
    }

    /** Its process is gone; on its loop. */
    void close() {
        discovery.close();
        endpoints.close();
    }

    /** Nobody reads what a thousand of them would say. */
    private static final class Silence implements LogSink {
        @Override
        public boolean takes(Severity severity, String logger) {
            return false;
        }

        @Override
        public void write(LogEvent event) {
            throw new IllegalStateException("nothing is wanted here");
        }

        @Override
        public void level(String logger, Severity severity) {
            throw new IllegalStateException("nothing is wanted here");
        }

        @Override
        public Map<String, String> levels() {
            return Map.of();
        }
    }
}
