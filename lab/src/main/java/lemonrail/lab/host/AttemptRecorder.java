package lemonrail.lab.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemonrail.lab.model.Scheduler;

/**
 * Records every attempt at every endpoint and the endpoint states that were announced to sidecars, and reports
 * attempts that violate a rule.
 */
public final class AttemptRecorder {

    /** One attempt as its endpoint saw it. Times are in ms since the run began, NaN for events that did not happen. */
    public static final class Attempt {
        private final String request;
        private final int tier;
        private final String endpoint;
        private final double receivedMs;
        private final double workMs;
        private final Attempt parent;
        private double startedMs = Double.NaN;
        private double endedMs = Double.NaN;
        private String outcome = "open";
        private int calls;

        Attempt(String request, int tier, String endpoint, double receivedMs, double workMs, Attempt parent) {
            this.request = request;
            this.tier = tier;
            this.endpoint = endpoint;
            this.receivedMs = receivedMs;
            this.workMs = workMs;
            this.parent = parent;
        }

        /** Returns the request id. */
        public String request() {
            return request;
        }

        /** Returns the index of the endpoint's tier, from 0. */
        public int tier() {
            return tier;
        }

        /** Returns the id of the endpoint. */
        public String endpoint() {
            return endpoint;
        }

        /** Returns when the last byte of the request arrived. */
        public double receivedMs() {
            return receivedMs;
        }

        /** Returns the requested work, in ms on a core of speed 1. */
        public double workMs() {
            return workMs;
        }

        /** Returns the attempt in the tier above that made this call, or null in the first tier. */
        public Attempt parent() {
            return parent;
        }

        /** Returns when the work began, or NaN. */
        public double startedMs() {
            return startedMs;
        }

        /** Returns when the attempt was answered or its connection closed, or NaN. */
        public double endedMs() {
            return endedMs;
        }

        /** Returns the outcome: served, error, turned_away, closed or open. */
        public String outcome() {
            return outcome;
        }

        /** Returns the number of the next call to the tier below, from 1. */
        int nextCall() {
            return ++calls;
        }

        void markStarted(double now) {
            startedMs = now;
        }

        void markEnded(double now, String result) {
            if (Double.isNaN(endedMs)) {
                endedMs = now;
                outcome = result;
            }
        }
    }

    /** Tolerance of the rules for delays of sockets and timers. */
    private static final double SLACK_MS = 50;

    private record Route(String sidecar, Attempt parent) {}

    private final Scheduler scheduler;
    private final double graceMs;
    private final double overlapMs;
    private final Map<String, Route> routes = new HashMap<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final Map<String, List<Attempt>> byRequest = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    /** Maps sidecar and endpoint to when the sidecar was notified that the endpoint accepts no new requests, in ms. */
    private final Map<String, Double> notAcceptingSinceMs = new HashMap<>();

    /**
     * Creates the recorder of one run.
     *
     * @param graceMs time for which a sidecar may still send to an endpoint after it was notified that it drains
     * @param linkMs maximum difference between the delays of two links to endpoints
     */
    public AttemptRecorder(Scheduler scheduler, double graceMs, double linkMs) {
        overlapMs = SLACK_MS + linkMs;
        this.scheduler = scheduler;
        this.graceMs = graceMs;
    }

    /** Records that a request is about to be sent to a sidecar; {@code parent} is null for a client's request. */
    void recordSent(String request, String sidecar, Attempt parent) {
        routes.put(request, new Route(sidecar, parent));
    }

    /** Records that an endpoint has received a request completely. */
    Attempt recordAttempt(String request, int tier, String endpoint, double workMs) {
        Route route = routes.get(request);
        if (route == null) {
            violations.add("a request that nobody sent: " + request);
        }
        double now = scheduler.nowMs();
        Attempt attempt = new Attempt(request, tier, endpoint, now, workMs, route == null ? null : route.parent);
        attempts.add(attempt);
        List<Attempt> sameRequest = byRequest.computeIfAbsent(request, id -> new ArrayList<>(1));
        sameRequest.stream().filter(other -> Double.isNaN(other.endedMs)).forEach(this::checkOverlapLater);
        sameRequest.add(attempt);
        if (route != null
                && now - notAcceptingSinceMs.getOrDefault(route.sidecar + " " + endpoint, now) > graceMs + SLACK_MS) {
            violations.add("sent to " + endpoint + " although it drains or is gone: " + request);
        }
        return attempt;
    }

    /** Checks for overlap only after a delay, since the end of an attempt may still be in transit on a slower link. */
    private void checkOverlapLater(Attempt earlier) {
        scheduler.after(overlapMs, () -> {
            if (Double.isNaN(earlier.endedMs)) {
                violations.add("two attempts at once: " + earlier.request);
            }
        });
    }

    /** Records that a sidecar was notified whether an endpoint accepts new requests. */
    void recordNotification(String sidecar, String endpoint, boolean acceptsRequests) {
        if (acceptsRequests) {
            notAcceptingSinceMs.remove(sidecar + " " + endpoint);
        } else {
            notAcceptingSinceMs.putIfAbsent(sidecar + " " + endpoint, scheduler.nowMs());
        }
    }

    /** Records the violation of a rule. */
    void recordViolation(String description) {
        violations.add(description);
    }

    /** Returns the name of the sidecar that a request was sent to, or an empty string if it is unknown. */
    public String sidecar(String request) {
        Route route = routes.get(request);
        return route == null ? "" : route.sidecar;
    }

    /** Returns all attempts in order of arrival. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** Returns the attempts of one request, in order of arrival. */
    public List<Attempt> attemptsOf(String request) {
        return byRequest.getOrDefault(request, List.of());
    }

    /** Returns descriptions of the violations detected during the run. */
    public List<String> violations() {
        return violations;
    }
}
