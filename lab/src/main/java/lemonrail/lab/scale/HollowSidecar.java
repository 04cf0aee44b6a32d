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
 * The part of a sidecar that follows the control plane, so that many of them can share a process: the discovery
 * client with a connection of its own, the endpoint list, suspensions, the request dispatcher with its load
 * balancer, and the upstream with its connection pool, all with settings from the production parser. It has no
 * clients, listeners, admin API or warm-up, and does not look for a sibling process. Belongs to one event loop.
 */
final class HollowSidecar {

    private static final int MAX_CONNECTIONS = 64;
    private static final long BODY_BUFFER_BYTES = 1 << 20;

    /**
     * An update of an endpoint's entry.
     *
     * @param atNanos when the load balancer had it, by {@link System#nanoTime}
     * @param weight the entry's weight, which grows with each update and so identifies it
     * @param removed whether the endpoint was removed
     */
    record EntryUpdate(long atNanos, double weight, boolean removed) {
        /** Returns whether this is the given update or a later one. */
        boolean isAtLeast(EndpointEntry entry) {
            return removed
                    || (entry.state() != EndpointEntry.State.TERMINATED && weight >= entry.weight())
                    || weight > entry.weight();
        }
    }

    private final long createdNanos = System.nanoTime();
    private final EventLoop loop;
    private final int number;
    private final String listName;
    private final ControlPlane.Watch watch;
    private final Upstream<RequestMessage, UpstreamResponse> upstream;
    private final SuspendedEndpoints suspensions;
    private final RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher;
    /** By endpoint, in order of time. Guarded by itself, because the run reads it from its own thread. */
    private final Map<String, List<EntryUpdate>> updates = new HashMap<>();

    private long fullListCount;

    /** Creates a sidecar and starts its watch. To be called on its event loop. */
    HollowSidecar(
            EventLoop loop, EdgeConfig config, long seed, ControlPlane plane, int number, String listName, int node) {
        this.number = number;
        this.loop = loop;
        this.listName = listName;
        Clock clock = new Clock();
        EventLog log = new EventLog(clock, new DiscardingSink());
        EventLoopContext context = new EventLoopContext(
                loop,
                clock,
                log,
                new Metrics(config.classNames()),
                new BufferBudget(BODY_BUFFER_BYTES),
                new Lifecycle(() -> true),
                config.settings(),
                config.idleCloseMs());
        suspensions = new SuspendedEndpoints(config.stateFile("hollow"), log);
        watch = plane.createWatch(loop, config, log, seed, listName, node);
        upstream = new Http1Protocol().createUpstream(context, MAX_CONNECTIONS);
        // Set before the dispatcher starts the watch.
        watch.setListener(this::onEndpointList);
        dispatcher = new RequestDispatcher<>(
                context, upstream, suspensions, BoxcarLoadBalancer::new, seed, config.initialEndpoints(), watch::start);
    }

    private void onEndpointList(EndpointList received) {
        dispatcher.onEndpointList(received);
        long now = System.nanoTime();
        synchronized (updates) {
            if (received.full()) {
                fullListCount++;
                Set<String> listedIds = new HashSet<>();
                received.entries()
                        .forEach(entry -> listedIds.add(entry.endpoint().id()));
                updates.forEach((id, endpointUpdates) -> {
                    if (!listedIds.contains(id) && !endpointUpdates.get(endpointUpdates.size() - 1).removed) {
                        endpointUpdates.add(new EntryUpdate(now, 0, true));
                    }
                });
            }
            for (EndpointList.Entry entry : received.entries()) {
                Endpoint endpoint = entry.endpoint();
                updates.computeIfAbsent(endpoint.id(), id -> new ArrayList<>(2))
                        .add(new EntryUpdate(now, endpoint.weight(), endpoint.state() == EndpointState.GONE));
            }
        }
    }

    /** Returns the number of its endpoint. */
    int number() {
        return number;
    }

    /** Returns the name of the list that it watches. */
    String listName() {
        return listName;
    }

    /** Returns when it was created, by {@link System#nanoTime}. */
    long createdNanos() {
        return createdNanos;
    }

    EventLoop loop() {
        return loop;
    }

    /** Returns when, at or after {@code sinceNanos}, it received this update or a later one; -1 if it has not. */
    long findUpdateNanos(EndpointEntry entry, long sinceNanos) {
        synchronized (updates) {
            for (EntryUpdate update : updates.getOrDefault(entry.id(), List.of())) {
                if (update.atNanos >= sinceNanos && update.isAtLeast(entry)) {
                    return update.atNanos;
                }
            }
            return -1;
        }
    }

    /** Returns how many full snapshots it has received. */
    long fullListCount() {
        synchronized (updates) {
            return fullListCount;
        }
    }

    /** Discards all recorded updates but the last one of each endpoint. */
    void discardOldUpdates() {
        synchronized (updates) {
            updates.values()
                    .forEach(endpointUpdates -> endpointUpdates
                            .subList(0, endpointUpdates.size() - 1)
                            .clear());
        }
    }

    /** Returns whether its load balancer has exactly these entries. To be called on its event loop. */
    boolean hasEntries(Map<String, EndpointEntry> entries) {
        List<Endpoint> visible = suspensions.listedEndpoints(entries.keySet());
        return suspensions.listedCount() == entries.size()
                && upstream.endpointCount() == entries.size()
                && visible.size() == entries.size()
                && visible.stream().allMatch(endpoint -> {
                    EndpointEntry entry = entries.get(endpoint.id());
                    return endpoint.state()
                                    == (entry.state() == EndpointEntry.State.IN_SERVICE
                                            ? EndpointState.READY
                                            : EndpointState.DRAINING)
                            && endpoint.startedMs() == entry.startedMs()
                            && endpoint.weight() == entry.weight();
                });
    }

    /**
     * Continues at another address of the control plane, as after a reload of its settings. To be called on its
     * event loop.
     */
    void moveToOtherAddress() {
        watch.moveToOtherAddress();
    }

    /** Closes it as if its process had ended. To be called on its event loop. */
    void close() {
        watch.close();
        upstream.close();
    }

    /** Discards all log events: nobody reads the logs of a thousand hollow sidecars. */
    private static final class DiscardingSink implements LogSink {
        @Override
        public boolean isEnabled(Severity severity, String logger) {
            return false;
        }

        @Override
        public void write(LogEvent event) {
            throw new IllegalStateException("hollow sidecars do not log");
        }

        @Override
        public void setLevel(String logger, Severity severity) {
            throw new IllegalStateException("hollow sidecars do not log");
        }

        @Override
        public Map<String, String> levels() {
            return Map.of();
        }
    }
}
