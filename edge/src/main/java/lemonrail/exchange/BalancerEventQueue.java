package lemonrail.exchange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/**
 * Delivers events to the balancer in their order. An event that is added while another is being delivered waits, so the
 * balancer is never called from within its own call.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
final class BalancerEventQueue<M extends ProtocolRequest, A> {

    /** An event, with the time of its delivery. */
    @FunctionalInterface
    interface Event {
        void deliver(LoadBalancer balancer, double nowMs);
    }

    private record Queued<M extends ProtocolRequest, A>(PendingRequest<M, A> request, Event event) {}

    private final LoadBalancer balancer;
    private final Clock clock;
    private final EventLog log;
    private final Consumer<PendingRequest<M, A>> afterRequestEvent;
    private final Deque<Queued<M, A>> queue = new ArrayDeque<>();
    private boolean delivering;

    /**
     * Creates an empty queue.
     *
     * @param afterRequestEvent runs after each event that concerns a request
     */
    BalancerEventQueue(
            LoadBalancer balancer, Clock clock, EventLog log, Consumer<PendingRequest<M, A>> afterRequestEvent) {
        this.balancer = balancer;
        this.clock = clock;
        this.log = log;
        this.afterRequestEvent = afterRequestEvent;
    }

    /** Adds an event that concerns no single request. */
    void add(Event event) {
        add(null, event);
    }

    /** Adds an event that concerns a request. It is delivered before this returns unless another is being delivered. */
    void add(PendingRequest<M, A> request, Event event) {
        queue.add(new Queued<>(request, event));
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Queued<M, A> next = queue.poll(); next != null; next = queue.poll()) {
                deliver(next.request(), next.event());
            }
        } finally {
            delivering = false;
        }
    }

    private void deliver(PendingRequest<M, A> request, Event event) {
        try {
            event.deliver(balancer, clock.now());
        } catch (RuntimeException e) {
            log.error("the load balancer failed", e);
            if (request != null) {
                request.markBalancerFailed();
            }
        }
        if (request != null) {
            afterRequestEvent.accept(request);
        }
    }
}
