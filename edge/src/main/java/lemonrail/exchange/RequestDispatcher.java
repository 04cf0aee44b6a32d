package lemonrail.exchange;

import java.util.Collection;
import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.balancer.Request;
import lemonrail.discovery.EndpointList;
import lemonrail.discovery.EndpointListListener;
import lemonrail.logging.EventLog;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.time.Clock;

/**
 * Connects the client side and the endpoint side of a protocol through a load balancer: it carries out the balancer's
 * decisions, notifies it of what happens, and sees to it that each request gets one final response. It knows nothing of
 * the protocol. All methods are called on the event loop.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
public final class RequestDispatcher<M extends ProtocolRequest, A> implements LoadBalancerHost, EndpointListListener {

    private final Clock clock;
    private final EventLog log;
    private final RequestLog requestLog;
    private final EventLoopTimers timers;
    private final RequestDeadlines deadlines;
    private final Upstream<M, A> upstream;
    private final SuspendedEndpoints suspensions;
    private final Runnable startPolling;
    private final LoadBalancer balancer;
    private final BalancerEventQueue<M, A> events;
    private final RequestTable<M, A> requests;
    private final ResponseDelivery<M, A> responses;
    private final AttemptRunner<M, A> attempts;

    private BalancerSettings settings;
    private boolean hasEndpoints;

    /**
     * Creates a dispatcher with a balancer of its own, and starts polling the endpoint list.
     *
     * @param balancerFactory creates the balancer
     * @param seed for the balancer's random numbers
     * @param cachedEndpoints the last known endpoint list, which may be outdated
     * @param startPolling starts polling the endpoint list, unless that is on already
     */
    public RequestDispatcher(
            EventLoopContext context,
            Upstream<M, A> upstream,
            SuspendedEndpoints suspensions,
            LoadBalancerFactory balancerFactory,
            long seed,
            EndpointList cachedEndpoints,
            Runnable startPolling) {
        this.upstream = upstream;
        this.suspensions = suspensions;
        this.startPolling = startPolling;
        clock = context.clock();
        log = context.log().forComponent("exchange");
        settings = context.settings();
        requestLog = new RequestLog(log, clock, this::settings);
        timers = new EventLoopTimers(context.loop());
        deadlines = new RequestDeadlines(clock, timers);
        requests = new RequestTable<>(context.bufferBudget());
        responses = new ResponseDelivery<>(clock, requestLog, context.metrics());
        balancer = balancerFactory.create(settings, seed, this);
        events = new BalancerEventQueue<>(balancer, clock, log, this::settle);
        attempts = new AttemptRunner<>(
                context, upstream, this::settings, events, responses, deadlines, timers, requestLog);
        updateEndpoints(EndpointUpdateKind.CACHED, cachedEndpoints);
        startPolling.run();
    }

    // ---- state, for the assembly and the client side ----

    /** Returns whether an endpoint list has named an endpoint yet. */
    public boolean hasEndpoints() {
        return hasEndpoints;
    }

    /** Returns the settings in force. */
    public BalancerSettings settings() {
        return settings;
    }

    /** Returns how many requests are in flight. */
    public int requestsInFlight() {
        return requests.size();
    }

    /** Returns whether a request of this id is in flight. */
    public boolean isInFlight(String id) {
        return requests.contains(id);
    }

    /** Returns how many endpoints get no or fewer requests by the balancer's own decision. */
    public int ejectedEndpoints() {
        return balancer.ejectedEndpoints(clock.now());
    }

    /**
     * Adopts settings that differ in what may change while requests are in flight.
     *
     * @return false if the balancer cannot adopt settings; they stay as they are
     */
    public boolean updateSettings(BalancerSettings changed) {
        if (!balancer.supportsSettingsUpdate()) {
            return false;
        }
        settings = changed;
        events.add((loadBalancer, nowMs) -> loadBalancer.onSettings(nowMs, changed));
        return true;
    }

    // ---- events of clients ----

    /** Takes in a client's request; the sink gets its one final response, possibly before this returns. */
    public void dispatch(Request details, M message, ResponseSink<A> sink) {
        PendingRequest<M, A> request =
                new PendingRequest<>(details, message, sink, clock.now(), clock.maxQueueDelayMs());
        requests.add(request);
        if (!message.isBodyArriving()) {
            startDecisionTimeout(request);
        }
        Request forBalancer = request.forBalancer(deadlines.responseDueMs(request));
        events.add(request, (loadBalancer, nowMs) -> loadBalancer.onRequest(nowMs, forBalancer));
    }

    /** Notes that the rest of a large body has been received: the client's time counts from now on. */
    public void onRequestBodyReceived(String id) {
        PendingRequest<M, A> request = requests.findUnconcluded(id);
        if (request != null) {
            deadlines.restart(request);
            startDecisionTimeout(request);
        }
    }

    /** Notes that the client of a request has disconnected before its response was written whole. */
    public void onClientDisconnected(String id) {
        PendingRequest<M, A> request = requests.find(id);
        if (request != null && request.isStreaming()) {
            attempts.cancel(request, request.streamingAttempt(), AttemptOutcome.CANCELED);
        } else if (request != null && !request.isConcluded()) {
            responses.clientDisconnected(request);
            releaseFromBalancer(request);
        }
    }

    /** Gives up all requests as the process ends. Each client is sent its response, or sees its streamed one cut. */
    public void abandonAll() {
        for (PendingRequest<M, A> request : requests.snapshot()) {
            if (request.isStreaming()) {
                attempts.cancel(request, request.streamingAttempt(), AttemptOutcome.CANCELED);
            } else if (!request.isConcluded()) {
                abandon(request);
            }
        }
    }

    private void startDecisionTimeout(PendingRequest<M, A> request) {
        deadlines.startDecisionTimeout(request, () -> onDecisionTimeout(request));
    }

    private void onDecisionTimeout(PendingRequest<M, A> request) {
        if (!request.isConcluded()) {
            requestLog.decisionTimeout(request);
            abandon(request);
        }
    }

    private void abandon(PendingRequest<M, A> request) {
        responses.abandoned(request);
        releaseFromBalancer(request);
    }

    /** Notifies the balancer that it owes a request nothing any more, and cancels what has not been executed of it. */
    private void releaseFromBalancer(PendingRequest<M, A> request) {
        events.add(request, (loadBalancer, nowMs) -> loadBalancer.onRequestCancelled(nowMs, request.id()));
        attempts.cancelUnwritten(request);
    }

    /** Abandons a request that the balancer failed on, and removes one that is over. */
    private void settle(PendingRequest<M, A> request) {
        if (request.hasInFlightAttempts()) {
            return;
        }
        if (request.hasBalancerFailed() && !request.isConcluded()) {
            abandon(request);
        }
        if (request.isConcluded()) {
            requests.remove(request);
        }
    }

    // ---- events of discovery ----

    @Override
    public void onEndpointList(EndpointList list) {
        updateEndpoints(list.full() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, list);
    }

    private void updateEndpoints(EndpointUpdateKind kind, EndpointList list) {
        hasEndpoints |= !list.entries().isEmpty();
        upstream.updateEndpoints(list);
        notifyOfEndpoints(kind, suspensions.applyUpdate(kind, list.endpoints()));
    }

    /** Notifies the balancer of endpoints whose suspension has begun or ended. */
    public void refreshEndpoints(Collection<String> ids) {
        List<Endpoint> update = suspensions.visibleEndpoints(ids);
        if (!update.isEmpty()) {
            notifyOfEndpoints(EndpointUpdateKind.DELTA, update);
        }
    }

    private void notifyOfEndpoints(EndpointUpdateKind kind, List<Endpoint> update) {
        deadlines.limitStartsAtLeavingEndpoints(requests.all(), kind, update, settings.drain());
        events.add((loadBalancer, nowMs) -> loadBalancer.onEndpointUpdate(nowMs, kind, update));
    }

    // ---- decisions of the balancer ----

    @Override
    public void startAttempt(String id, String endpoint, double timeoutMs) {
        PendingRequest<M, A> request = requests.find(id);
        if (request == null) {
            requestLog.unknownAttempt(id);
        } else {
            attempts.start(request, endpoint, timeoutMs);
        }
    }

    @Override
    public void reject(String id, double retryAfterMs) {
        PendingRequest<M, A> request = requests.findUnconcluded(id);
        if (request != null) {
            responses.reject(request, retryAfterMs);
        }
    }

    @Override
    public void fail(String id) {
        PendingRequest<M, A> request = requests.findUnconcluded(id);
        if (request != null) {
            responses.failed(request);
        }
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        PendingRequest<M, A> request = requests.find(id);
        if (request != null && attempt < request.attempts().size()) {
            attempts.cancel(request, request.attempts().get(attempt), AttemptOutcome.CANCELED);
        }
    }

    @Override
    public void startTimer(double delayMs, long name) {
        timers.schedule(delayMs, () -> events.add((loadBalancer, nowMs) -> loadBalancer.onTimer(nowMs, name)));
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        upstream.closeIdleConnections(endpoint);
    }

    @Override
    public void pollEndpoints() {
        startPolling.run();
    }

    @Override
    public void log(String line) {
        log.info("load_shedding", line);
    }
}
