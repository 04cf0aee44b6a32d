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
 * Watches the endpoint list at the platform's discovery, request after request. There is one request at a
 * time. After a failure the watch resumes after a backoff, which {@link #watch} cuts short. Belongs to the event
 * loop.
 */
public final class DiscoveryClient {

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    /** After a time limit a busy event loop gets this long to read what has arrived meanwhile. */
    private static final int READ_GRACE_MS = 10;

    private static final int STATUS_OK = 200;
    private static final double NANOS_PER_MS = 1e6;

    /** The phases of a request, each of which has a time limit. */
    private enum Phase {
        CONNECTING("no connection in time"),
        WAITING_FOR_RESPONSE("no answer in time"),
        RECEIVING_RESPONSE("no whole answer in time");

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
    /** The version of the list at this address; empty to request a full snapshot. */
    private OptionalLong version;

    private Phase phase = Phase.CONNECTING;
    private Future<?> phaseTimeout;
    /** When the response must be complete, by {@link System#nanoTime}; valid while it is received. */
    private long responseDeadlineNs;

    private Future<?> pendingRetry;
    private boolean closed;

    /**
     * Creates a client, which watches from the first {@link #watch} on.
     *
     * @param address of the discovery
     * @param knownVersion the version of the list that is known already
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
                        return startWaiting();
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

    /** Sets the receiver of the endpoint lists. */
    public void setListener(EndpointListListener newListener) {
        listener = newListener;
    }

    /**
     * Continues at another address, at once and without a failure. Its versions are unrelated, so a full
     * snapshot is requested.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        version = OptionalLong.empty();
        // The failures of the old address say nothing of the new one.
        schedule.onResponse();
        cancelPhaseTimeout();
        http.close();
        watch();
    }

    /** Starts a request unless one is in flight; a pending backoff ends. */
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

    /** Ends the watch for good. */
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

    /** Returns the request's URI. Its time limit starts only now: the connect may have taken long. */
    private String startWaiting() {
        int waitMs = version.isPresent() ? schedule.waitMs() : 0;
        enterPhase(Phase.WAITING_FOR_RESPONSE, waitMs + WatchSchedule.silenceTimeoutMs());
        String resumption = version.isPresent() ? "?index=" + version.getAsLong() + "&wait=" + waitMs : "";
        return "/registry/instances" + resumption;
    }

    /** Each part of a response must follow soon, and all of it be there by its deadline. */
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
        log.warnRateLimited("discovery_failed", "discovery failed", reason, "address", address);
        pendingRetry = loop.schedule(this::watch, (long) (schedule.onFailure() * NANOS_PER_MS), TimeUnit.NANOSECONDS);
    }

    private void handleResponse(int status, byte[] body) {
        if (status != STATUS_OK) {
            handleFailure("status " + status);
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
        boolean versionsRestarted = !list.full() && version.isPresent() && list.version() < version.getAsLong();
        // A delta since another sequence's version may lack changes.
        version = versionsRestarted ? OptionalLong.empty() : OptionalLong.of(list.version());
        // The next request goes out first: discovery expects it soon after its response.
        watch();
        listener.onEndpointList(list);
    }
}
