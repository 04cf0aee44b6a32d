package lemonrail.lab.scale;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemonrail.config.EdgeConfig;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
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
import lemonrail.logging.LogEvent;
import lemonrail.logging.LogSink;
import lemonrail.logging.Severity;
import lemonrail.metrics.Metrics;
import lemonrail.streaming.BufferBudget;
import lemonrail.suspension.SuspendedEndpoints;
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

    /** What was told of an endpoint: when the decider had it, its weight, or that it is gone. */
    record Told(long atNanos, double weight, boolean gone) {
        /** Whether this is the word that is looked for, or a later one. */
        boolean has(EndpointEntry line) {
            return gone
                    || (line.state() != EndpointEntry.State.TERMINATED && weight >= line.weight())
                    || weight > line.weight();
        }
    }

    private final long bornNanos = System.nanoTime();
    private final EventLoop loop;
    private final int number;
    private final String list;
    private final ControlPlane.Watch watch;
    private final Upstream<RequestMessage, UpstreamResponse> endpoints;
    private final SuspendedEndpoints suspensions;
    private final RequestDispatcher<RequestMessage, UpstreamResponse> exchange;
    /** By endpoint, in the order of time. Guarded by itself: the run reads it from its own thread. */
    private final Map<String, List<Told>> told = new HashMap<>();

    private long wholeLists;

    /** One on its loop, which begins to watch at once; to be made on that loop. */
    HollowSidecar(EventLoop loop, EdgeConfig config, long seed, ControlPlane plane, int number, String list, int node) {
        this.number = number;
        this.loop = loop;
        this.list = list;
        Clock clock = new Clock();
        EventLog log = new EventLog(clock, new Silence());
        EventLoopContext shard = new EventLoopContext(
                loop,
                clock,
                log,
                new Metrics(config.classNames()),
                new BufferBudget(BODIES_BYTES),
                new Lifecycle(() -> true),
                config.settings(),
                config.idleCloseMs());
        suspensions = new SuspendedEndpoints(config.stateFile("hollow"), log);
        watch = plane.watch(loop, config, log, seed, list, node);
        endpoints = new Http1Protocol().createUpstream(shard, CONNECTIONS);
        // Set before the exchange begins the watch.
        watch.listen(this::take);
        exchange = new RequestDispatcher<>(
                shard, endpoints, suspensions, BoxcarLoadBalancer::new, seed, config.initialEndpoints(), watch::watch);
    }

    private void take(EndpointList news) {
        exchange.onEndpointList(news);
        long now = System.nanoTime();
        synchronized (told) {
            if (news.full()) {
                wholeLists++;
                Set<String> named = new HashSet<>();
                news.entries().forEach(entry -> named.add(entry.endpoint().id()));
                told.forEach((id, words) -> {
                    if (!named.contains(id) && !words.get(words.size() - 1).gone) {
                        words.add(new Told(now, 0, true));
                    }
                });
            }
            for (EndpointList.Entry entry : news.entries()) {
                Endpoint server = entry.endpoint();
                told.computeIfAbsent(server.id(), id -> new ArrayList<>(2))
                        .add(new Told(now, server.weight(), server.state() == EndpointState.GONE));
            }
        }
    }

    /** Of the endpoint that it is beside. */
    int number() {
        return number;
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

    /** When, since a time, it had this word on an endpoint or a later one; below 0 if it has not. */
    long hadNanos(EndpointEntry line, long sinceNanos) {
        synchronized (told) {
            for (Told word : told.getOrDefault(line.id(), List.of())) {
                if (word.atNanos >= sinceNanos && word.has(line)) {
                    return word.atNanos;
                }
            }
            return -1;
        }
    }

    /** How many whole lists it has been told. */
    long wholeLists() {
        synchronized (told) {
            return wholeLists;
        }
    }

    /** What was told before the last word on each endpoint is of no more use. */
    void forget() {
        synchronized (told) {
            told.values().forEach(words -> words.subList(0, words.size() - 1).clear());
        }
    }

    /** Whether the decider's list is this one; to be asked on its loop. */
    boolean knows(Map<String, EndpointEntry> lines) {
        List<Endpoint> shown = suspensions.listedEndpoints(lines.keySet());
        return suspensions.listedCount() == lines.size()
                && endpoints.endpointCount() == lines.size()
                && shown.size() == lines.size()
                && shown.stream().allMatch(server -> {
                    EndpointEntry line = lines.get(server.id());
                    return server.state()
                                    == (line.state() == EndpointEntry.State.IN_SERVICE
                                            ? EndpointState.READY
                                            : EndpointState.DRAINING)
                            && server.startedMs() == line.startedMs()
                            && server.weight() == line.weight();
                });
    }

    /** Goes on at another place, as a reload has it; on its loop. */
    void elsewhere() {
        watch.elsewhere();
    }

    /** Its process is gone; on its loop. */
    void close() {
        watch.close();
        endpoints.close();
    }

    /** Nobody reads what a thousand of them would say. */
    private static final class Silence implements LogSink {
        @Override
        public boolean isEnabled(Severity severity, String logger) {
            return false;
        }

        @Override
        public void write(LogEvent event) {
            throw new IllegalStateException("nothing is wanted here");
        }

        @Override
        public void setLevel(String logger, Severity severity) {
            throw new IllegalStateException("nothing is wanted here");
        }

        @Override
        public Map<String, String> levels() {
            return Map.of();
        }
    }
}
