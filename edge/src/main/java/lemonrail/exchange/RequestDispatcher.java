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
import lemonrail.metrics.Metrics;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.time.Clock;
import lemonrail.upgrade.ExecutedRequestIds;

/**
 * Connects the client side and the endpoint side of a protocol through a load balancer: it carries out the balancer's
 * decisions, notifies the balancer of events, and ensures that each request gets exactly one final response. It is
 * independent of the protocol. All methods are called on the event loop.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
public final class RequestDispatcher<M extends ProtocolRequest, A> implements LoadBalancerHost, EndpointListListener {

    /** Stands for a rejection that does not say when the client may retry. */
    static final double NO_RETRY_AFTER = 0;

    private final Clock clock;
    private final EventLog log;
    private final RequestLog requestLog;
    private final Metrics metrics;
    private final EventLoopTimers timers;
    private final RequestDeadlines deadlines;
    private final Upstream<M, A> upstream;
    private final SuspendedEndpoints suspensions;
    private final Runnable startPolling;
    private final LoadBalancer balancer;
    private final BalancerEventQueue<M, A> events;
    private final RequestTable<M, A> requests;
    private final DuplicateRequests duplicates;
    private final ResponseDelivery<M, A> responses;
    private final AttemptRunner<M, A> attempts;

    private BalancerSettings settings;
    private boolean hasEndpoints;

    /**
     * Creates a dispatcher with its own balancer, and starts polling the endpoint list.
     *
     * @param balancerFactory creates the balancer
     * @param seed the seed of the balancer's random numbers
     * @param cachedEndpoints the last known endpoint list, which may be outdated
     * @param startPolling starts polling the endpoint list; does nothing if polling has already started
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
        metrics = context.metrics();
        requestLog = new RequestLog(log, clock, this::settings);
        timers = new EventLoopTimers(context.loop());
        deadlines = new RequestDeadlines(clock, timers);
        requests = new RequestTable<>(context.bufferBudget());
        duplicates = new DuplicateRequests(requests, this::settings);
        responses = new ResponseDelivery<>(clock, requestLog, context.metrics());
        balancer = balancerFactory.create(settings, seed, this);
        events = new BalancerEventQueue<>(balancer, clock, log, this::removeIfFinished);
        attempts = new AttemptRunner<>(
                context, upstream, this::settings, events, responses, deadlines, duplicates::onExecutable, requestLog);
        updateEndpoints(EndpointUpdateKind.CACHED, cachedEndpoints);
        startPolling.run();
    }

    // ---- state, read by the assembly and the client side ----

    /** Returns whether any endpoint list so far contained an endpoint. */
    public boolean hasEndpoints() {
        return hasEndpoints;
    }

    /** Returns the current settings. */
    public BalancerSettings settings() {
        return settings;
    }

    /** Returns how many requests are in flight. */
    public int requestsInFlight() {
        return requests.size();
    }

    /** Shares the ids of executed requests with the other process of this sidecar. */
    public void shareExecutedIds(ExecutedRequestIds shared) {
        duplicates.shareExecutedIds(shared);
    }

    /**
     * Returns whether a request with this id must not be dispatched, because one is in flight, or because one may have
     * been executed that must not be executed again.
     */
    public boolean isDuplicate(String id, int requestClass) {
        return duplicates.contains(id, requestClass);
    }

    /** Returns how many endpoints the balancer has ejected, so that they get no or fewer requests. */
    public int ejectedEndpoints() {
        return balancer.ejectedEndpoints(clock.now());
    }

    /**
     * Replaces the settings. The new settings may differ from the old ones only in values that may change while
     * requests are in flight.
     *
     * @return false if the balancer does not support changed settings; the old ones then stay in effect
     */
    public boolean updateSettings(BalancerSettings changed) {
        if (!balancer.supportsSettingsUpdate()) {
            return false;
        }
        settings = changed;
        events.add((loadBalancer, nowMs) -> loadBalancer.onSettings(nowMs, changed));
        return true;
    }

    // ---- client events ----

    /** Dispatches a client's request. The sink receives the final response, possibly before this method returns. */
    public void dispatch(Request details, M message, ResponseSink<A> sink) {
        PendingRequest<M, A> request =
                new PendingRequest<>(details, message, sink, clock.now(), clock.maxQueueDelayMs());
        if (request.bodyState() == RequestBodyState.COMPLETE) {
            startDecisionTimeout(request);
        } else if (!UploadAdmission.isAdmitted(requests.all(), balancer.concurrencyLimit())) {
            metrics.onUploadRefused();
            requestLog.logUploadRefused(request, requests.size(), balancer.concurrencyLimit());
            responses.reject(request, NO_RETRY_AFTER);
            return;
        }
        requests.add(request);
        Request forBalancer = request.forBalancer(deadlines.responseDueMs(request));
        events.add(request, (loadBalancer, nowMs) -> loadBalancer.onRequest(nowMs, forBalancer));
    }

    /**
     * Handles a pause in the reading of a large request body. The rest of the body may already be waiting to be read,
     * so the client's timeout counts from now unless {@link #onRequestBodyCaughtUp} shows that it had not started.
     */
    public void onRequestBodyPaused(String id) {
        PendingRequest<M, A> request = requests.findUnconcluded(id);
        if (request != null) {
            startClientTimeoutIfAwaited(request);
            deadlines.holdBackBody(request);
        }
    }

    /**
     * Handles that everything that has arrived of a large request body has been read and more is to come, so that the
     * client's timeout has not started yet.
     */
    public void onRequestBodyCaughtUp(String id) {
        PendingRequest<M, A> request = requests.findUnconcluded(id);
        if (request != null && request.bodyState() == RequestBodyState.HELD_BACK) {
            request.cancelDecisionTimeout();
            request.setBodyState(RequestBodyState.AWAITED);
        }
    }

    /** Handles the receipt of the rest of a large request body; the client's timeout starts now at the latest. */
    public void onRequestBodyReceived(String id) {
        PendingRequest<M, A> request = requests.findUnconcluded(id);
        if (request != null) {
            startClientTimeoutIfAwaited(request);
            request.setBodyState(RequestBodyState.COMPLETE);
        }
    }

    private void startClientTimeoutIfAwaited(PendingRequest<M, A> request) {
        if (request.bodyState() == RequestBodyState.AWAITED) {
            deadlines.startClientTimeout(request);
            startDecisionTimeout(request);
        }
    }

    /** Handles the disconnect of a client before the response to its request was written completely. */
    public void onClientDisconnected(String id) {
        PendingRequest<M, A> request = requests.find(id);
        if (request != null && request.isStreaming()) {
            attempts.cancel(request, request.streamedResponse().attempt(), AttemptOutcome.CANCELED);
        } else if (request != null && !request.isConcluded()) {
            responses.concludeDisconnected(request);
            attempts.release(request);
        }
    }

    /**
     * Abandons all requests without a final response because the process is ending: their clients get an error
     * response. Responses that are being forwarded continue.
     */
    public void abandonUndecided() {
        for (PendingRequest<M, A> request : requests.snapshot()) {
            if (!request.isConcluded()) {
                abandon(request);
            }
        }
    }

    /**
     * Truncates responses of which the endpoint has sent nothing for some time although all of it has been forwarded.
     *
     * @param receivedFromMs requests received earlier are left out, in milliseconds of the event loop's clock
     * @param minPauseMs how long the endpoint must have sent nothing, in milliseconds
     */
    public void cancelPausedResponses(double receivedFromMs, double minPauseMs) {
        for (PendingRequest<M, A> request : requests.snapshot()) {
            if (request.isStreaming()
                    && request.receivedMs() >= receivedFromMs
                    && request.streamedResponse().body().pausedMs() >= minPauseMs) {
                attempts.cancel(request, request.streamedResponse().attempt(), AttemptOutcome.CANCELED);
            }
        }
    }

    private void startDecisionTimeout(PendingRequest<M, A> request) {
        deadlines.startDecisionTimeout(request, () -> onDecisionTimeout(request));
    }

    private void onDecisionTimeout(PendingRequest<M, A> request) {
        attempts.timeOutUploads(request);
        if (!request.isConcluded()) {
            requestLog.logDecisionTimeout(request);
            abandon(request);
        }
    }

    private void abandon(PendingRequest<M, A> request) {
        responses.abandon(request);
        attempts.release(request);
    }

    /**
     * Removes a request that is concluded and has no attempts in flight. If the balancer threw an exception while
     * handling it, the request is abandoned first.
     */
    private void removeIfFinished(PendingRequest<M, A> request) {
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

    // ---- discovery events ----

    @Override
    public void onEndpointList(EndpointList list) {
        updateEndpoints(list.full() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, list);
    }

    private void updateEndpoints(EndpointUpdateKind kind, EndpointList list) {
        hasEndpoints |= !list.entries().isEmpty();
        upstream.updateEndpoints(list);
        notifyOfEndpoints(kind, suspensions.applyUpdate(kind, list.endpoints()));
    }

    /** Notifies the balancer of endpoints that have been suspended or resumed. */
    public void refreshEndpoints(Collection<String> ids) {
        List<Endpoint> update = suspensions.listedEndpoints(ids);
        if (!update.isEmpty()) {
            notifyOfEndpoints(EndpointUpdateKind.DELTA, update);
        }
    }

    private void notifyOfEndpoints(EndpointUpdateKind kind, List<Endpoint> update) {
        deadlines.limitStartsAtLeavingEndpoints(requests.all(), kind, update, settings.drain());
        events.add((loadBalancer, nowMs) -> loadBalancer.onEndpointUpdate(nowMs, kind, update));
    }

    // ---- balancer decisions ----

    @Override
    public void startAttempt(String id, String endpoint, double timeoutMs) {
        PendingRequest<M, A> request = requests.find(id);
        if (request == null) {
            requestLog.logUnknownAttempt(id);
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
            responses.fail(request);
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
