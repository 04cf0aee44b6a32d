package lemonrail.exchange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/**
 * Delivers events to the balancer in the order in which they were added. An event that is added during the delivery of
 * another one is queued, so the balancer is never called re-entrantly.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
final class BalancerEventQueue<M extends ProtocolRequest, A> {

    /** A call to the balancer. */
    @FunctionalInterface
    interface Event {
        void deliver(LoadBalancer balancer, double nowMs);
    }

    private record QueuedEvent<M extends ProtocolRequest, A>(PendingRequest<M, A> request, Event event) {}

    private final LoadBalancer balancer;
    private final Clock clock;
    private final EventLog log;
    private final Consumer<PendingRequest<M, A>> afterRequestEvent;
    private final Deque<QueuedEvent<M, A>> queue = new ArrayDeque<>();
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

    /** Adds an event that concerns no particular request. */
    void add(Event event) {
        add(null, event);
    }

    /**
     * Adds an event that concerns a request. It is delivered before this method returns, unless the delivery of another
     * event is in progress.
     */
    void add(PendingRequest<M, A> request, Event event) {
        queue.add(new QueuedEvent<>(request, event));
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (QueuedEvent<M, A> next = queue.poll(); next != null; next = queue.poll()) {
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
            log.error("the load balancer threw an exception", e);
            if (request != null) {
                request.markBalancerFailed();
            }
        }
        if (request != null) {
            afterRequestEvent.accept(request);
        }
    }
}
