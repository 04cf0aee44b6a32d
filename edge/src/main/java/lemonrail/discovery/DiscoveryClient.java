package lemonrail.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import lemonrail.core.WatchSchedule;
import lemonrail.logging.EventLog;

/**
 * Watches the endpoint list at the platform's discovery, with one request in flight at a time. After a failure
 * the watch resumes after a backoff; {@link #watch} resumes it at once. Belongs to the event loop.
 */
public final class DiscoveryClient {

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    /**
     * The delay between the end of a time limit and the failure of the request. It lets a busy event loop read
     * bytes that arrived before the limit.
     */
    private static final int READ_GRACE_MS = 10;

    private static final int STATUS_OK = 200;
    private static final double NANOS_PER_MS = 1e6;

    /** The phases of a request, each of which has a time limit. */
    private enum Phase {
        CONNECTING("connect timed out"),
        WAITING_FOR_RESPONSE("timed out waiting for a response"),
        RECEIVING_RESPONSE("timed out before the response was complete");

        private final String timeoutReason;

        Phase(String timeoutReason) {
            this.timeoutReason = timeoutReason;
        }
    }

    private final EventLoop loop;
    private final EndpointList.Names names;
    private final WatchSchedule schedule;
    private final EventLog log;
    private final HttpGetClient http;
    private EndpointListListener listener;
    private InetSocketAddress address;
    /** The version of the list at the current address; if empty, the next request asks for a full snapshot. */
    private OptionalLong version;

    private Phase phase = Phase.CONNECTING;
    private Future<?> phaseTimeout;
    /** The {@link System#nanoTime} by which the response must be complete; valid only while receiving it. */
    private long responseDeadlineNs;

    private Future<?> pendingRetry;
    private boolean closed;

    /**
     * Creates a client without a request; the first call of {@link #watch} starts the watch.
     *
     * @param address the address of the discovery service
     * @param knownVersion the version of the list that the caller already has
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            EndpointList.Names names,
            long knownVersion,
            WatchSchedule schedule,
            EventLog log) {
        this.loop = loop;
        this.address = address;
        this.names = names;
        version = OptionalLong.of(knownVersion);
        this.schedule = schedule;
        this.log = log.forComponent("discovery");
        http = new HttpGetClient(
                loop, HttpGetClient.NO_CONNECT_TIMEOUT, MAX_RESPONSE_BYTES, new HttpGetClient.Listener() {
                    @Override
                    public String onConnected() {
                        return prepareRequest();
                    }

                    @Override
                    public void onBytesReceived() {
                        restartReceiveTimeout();
                    }

                    @Override
                    public void onResponse(int status, byte[] body) {
                        cancelPhaseTimeout();
                        handleResponse(status, body);
                    }

                    @Override
                    public void onFailure(Object reason) {
                        handleFailure(reason);
                    }
                });
    }

    /** Sets the listener that receives the endpoint lists; needed before the first response. */
    public void setListener(EndpointListListener newListener) {
        listener = newListener;
    }

    /**
     * Moves the watch to another address immediately; a request in flight is dropped without counting as a
     * failure. The versions of the two addresses are unrelated, so that a full snapshot is requested.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        version = OptionalLong.empty();
        // Reset the backoff, because failures of the old address do not predict failures of the new one.
        schedule.onResponse();
        cancelPhaseTimeout();
        http.close();
        watch();
    }

    /** Starts a request unless one is in flight or the client is closed; cancels a pending backoff. */
    public void watch() {
        if (http.isInFlight() || closed) {
            return;
        }
        cancelRetry();
        if (!http.isConnectedTo(address)) {
            enterPhase(Phase.CONNECTING, WatchSchedule.silenceTimeoutMs());
        }
        http.send(address);
    }

    /** Ends the watch and closes the connection; the watch cannot be started again. */
    public void close() {
        closed = true;
        cancelPhaseTimeout();
        http.close();
        cancelRetry();
    }

    private void cancelRetry() {
        if (pendingRetry != null) {
            pendingRetry.cancel(false);
            pendingRetry = null;
        }
    }

    /**
     * Starts the time limit for the response and returns the request's URI. The limit starts here, after the
     * connect, so that a slow connect does not shorten it.
     */
    private String prepareRequest() {
        int waitMs = version.isPresent() ? schedule.waitMs() : 0;
        enterPhase(Phase.WAITING_FOR_RESPONSE, waitMs + WatchSchedule.silenceTimeoutMs());
        String resumption = version.isPresent() ? "?index=" + version.getAsLong() + "&wait=" + waitMs : "";
        return "/registry/instances" + resumption;
    }

    /** Restarts the time limit for the next bytes of the response, capped by the deadline for the complete response. */
    private void restartReceiveTimeout() {
        long nowNs = System.nanoTime();
        if (phase != Phase.RECEIVING_RESPONSE) {
            responseDeadlineNs = nowNs + TimeUnit.MILLISECONDS.toNanos(WatchSchedule.responseTimeoutMs());
        }
        long untilDeadlineMs = TimeUnit.NANOSECONDS.toMillis(responseDeadlineNs - nowNs);
        enterPhase(Phase.RECEIVING_RESPONSE, (int) Math.min(WatchSchedule.silenceTimeoutMs(), untilDeadlineMs));
    }

    private void enterPhase(Phase next, int timeoutMs) {
        phase = next;
        cancelPhaseTimeout();
        phaseTimeout = loop.schedule(this::startReadGrace, timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void startReadGrace() {
        phaseTimeout = loop.schedule(() -> http.fail(phase.timeoutReason), READ_GRACE_MS, TimeUnit.MILLISECONDS);
    }

    private void cancelPhaseTimeout() {
        if (phaseTimeout != null) {
            phaseTimeout.cancel(false);
            phaseTimeout = null;
        }
    }

    private void handleFailure(Object reason) {
        cancelPhaseTimeout();
        http.close();
        log.warnRateLimited("discovery_failed", "endpoint discovery failed", reason, "address", address);
        pendingRetry = loop.schedule(this::watch, (long) (schedule.onFailure() * NANOS_PER_MS), TimeUnit.NANOSECONDS);
    }

    private void handleResponse(int status, byte[] body) {
        if (status != STATUS_OK) {
            handleFailure("HTTP status " + status);
            return;
        }
        EndpointList list;
        try {
            list = EndpointListReader.parse(body, names);
        } catch (IOException | IllegalArgumentException e) {
            handleFailure(e.getMessage());
            return;
        }
        schedule.onResponse();
        // A lower version means that discovery restarted its numbering, so that this delta may lack changes.
        boolean versionsRestarted = !list.full() && version.isPresent() && list.version() < version.getAsLong();
        version = versionsRestarted ? OptionalLong.empty() : OptionalLong.of(list.version());
        // Send the next request first, so that a slow listener does not delay it.
        watch();
        listener.onEndpointList(list);
    }
}
