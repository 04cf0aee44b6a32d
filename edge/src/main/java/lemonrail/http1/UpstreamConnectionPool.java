package lemonrail.http1;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.discovery.EndpointList;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Upstream;
import lemonrail.logging.EventLog;

/**
 * The HTTP/1.1 connections to all endpoints. They are persistent, carry one request at a time, and are bounded in
 * number. Owned by one event loop, on which all methods are called.
 */
final class UpstreamConnectionPool implements Upstream<RequestMessage, UpstreamResponse> {

    /** The number of checks for expired idle connections per maximum idle time. */
    private static final int SWEEPS_PER_IDLE_TIME = 10;

    private final EventLoopContext context;
    private final EventLog log;
    private final UpstreamConnector connector;
    private final EndpointDirectory endpoints = new EndpointDirectory();
    private final IdleConnections idleConnections;
    private final ConnectPolicy connectPolicy;
    private final Future<?> idleSweep;

    /**
     * Creates an empty pool.
     *
     * @param context the objects that all components on this event loop share
     * @param maxConnections the maximum number of open connections
     */
    UpstreamConnectionPool(EventLoopContext context, int maxConnections) {
        this.context = context;
        log = context.log().forComponent("http1");
        connector = new UpstreamConnector(
                context.loop(), context.settings().limits().connectTimeoutMs());
        idleConnections = new IdleConnections(context.clock(), context.endpointIdleTimeoutMs());
        connectPolicy = new ConnectPolicy(context.clock(), idleConnections, maxConnections);
        long sweepIntervalMs = (long) Math.ceil(idleConnections.maxIdleMs() / SWEEPS_PER_IDLE_TIME);
        idleSweep = context.loop()
                .scheduleWithFixedDelay(
                        idleConnections::closeExpired, sweepIntervalMs, sweepIntervalMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void updateEndpoints(EndpointList list) {
        endpoints.update(list);
    }

    @Override
    public void setMaxConnections(int connections) {
        connectPolicy.setMaxConnections(connections);
    }

    @Override
    public int endpointCount() {
        return endpoints.size();
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        EndpointConnections endpoint = endpoints.find(endpointId);
        if (endpoint != null) {
            endpoint.closeIdle();
        }
    }

    @Override
    public Upstream.Attempt startAttempt(
            String endpointId,
            RequestMessage request,
            double timeoutMs,
            Upstream.AttemptListener<UpstreamResponse> listener) {
        UpstreamAttempt attempt = new UpstreamAttempt(request, timeoutMs, context.clock(), listener);
        EndpointConnections endpoint = endpoints.find(endpointId);
        idleConnections.closeExpired();
        ConnectDecision decision = connectPolicy.decide(endpointId, endpoint);
        if (decision instanceof ConnectDecision.Reuse reuse) {
            reuse.connection().startNext(attempt);
        } else if (decision instanceof ConnectDecision.Fail failure) {
            log.warnRateLimited(
                    "no_connection",
                    "no connection is available for an attempt",
                    failure.reason(),
                    "endpoint",
                    endpointId);
            attempt.finish(AttemptOutcome.CONNECT_ERROR, null);
        } else {
            connect(endpoint, attempt);
        }
        return attempt;
    }

    private void connect(EndpointConnections endpoint, UpstreamAttempt attempt) {
        connectPolicy.onConnectionOpened();
        new UpstreamConnection(endpoint, idleConnections, context, log)
                .connect(connector, attempt, connectPolicy::onConnectionClosed);
    }

    @Override
    public void close() {
        idleSweep.cancel(false);
        endpoints.closeIdleConnections();
    }
}
