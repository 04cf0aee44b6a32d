package lemonrail.lab.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemonrail.lab.model.Scheduler;

/** Records every attempt at every endpoint and what sidecars were told, and checks the rules by both. */
public final class AttemptRecorder {

    /** One request as an endpoint saw it; times are the run's, NaN where it did not come to that. */
    public static final class Attempt {
        private final String request;
        private final int tier;
        private final String endpoint;
        private final double beganMs;
        private final double workMs;
        private final Attempt parent;
        private double ranMs = Double.NaN;
        private double endedMs = Double.NaN;
        private String end = "open";
        private int calls;

        Attempt(String request, int tier, String endpoint, double beganMs, double workMs, Attempt parent) {
            this.request = request;
            this.tier = tier;
            this.endpoint = endpoint;
            this.beganMs = beganMs;
            this.workMs = workMs;
            this.parent = parent;
        }

        /** The request's id. */
        public String request() {
            return request;
        }

        /** Of the endpoint, from 0. */
        public int tier() {
            return tier;
        }

        /** Who got it. */
        public String endpoint() {
            return endpoint;
        }

        /** When its last byte came. */
        public double beganMs() {
            return beganMs;
        }

        /** The work that it asks for, in ms on a core of speed 1. */
        public double workMs() {
            return workMs;
        }

        /** On whose behalf it is called, or null in the first tier. */
        public Attempt parent() {
            return parent;
        }

        /** When its work began, or NaN. */
        public double ranMs() {
            return ranMs;
        }

        /** When it was answered or given up, or NaN. */
        public double endedMs() {
            return endedMs;
        }

        /** What came of it: served, error, turned_away, closed or open. */
        public String end() {
            return end;
        }

        /** The number of the next call on its behalf, from 1. */
        int nextCall() {
            return ++calls;
        }

        void ran(double now) {
            ranMs = now;
        }

        void ended(double now, String how) {
            if (Double.isNaN(endedMs)) {
                endedMs = now;
                end = how;
            }
        }
    }

    /** By so much the rules are longer on sockets. */
    private static final double SLACK_MS = 50;

    private record Route(String sidecar, Attempt onBehalfOf) {}

    private final Scheduler scheduler;
    private final double graceMs;
    private final double overlapMs;
    private final Map<String, Route> routes = new HashMap<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final Map<String, List<Attempt>> byRequest = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    /** From sidecar and endpoint to since when the sidecar has known that it wants nothing new. */
    private final Map<String, Double> unwanted = new HashMap<>();

    /**
     * A recorder of one run.
     *
     * @param graceMs for how long sidecars may send to what they know to drain
     * @param linkMs by how much one link to an endpoint may be slower than another
     */
    public AttemptRecorder(Scheduler scheduler, double graceMs, double linkMs) {
        overlapMs = SLACK_MS + linkMs;
        this.scheduler = scheduler;
        this.graceMs = graceMs;
    }

    /** A request is about to be sent to a sidecar. */
    void sent(String request, String sidecar, Attempt onBehalfOf) {
        routes.put(request, new Route(sidecar, onBehalfOf));
    }

    /** A request has come whole. */
    Attempt attempt(String request, int tier, String endpoint, double workMs) {
        Route route = routes.get(request);
        if (route == null) {
            broken.add("a request that nobody sent: " + request);
        }
        double now = scheduler.nowMs();
        Attempt made = new Attempt(request, tier, endpoint, now, workMs, route == null ? null : route.onBehalfOf);
        attempts.add(made);
        List<Attempt> before = byRequest.computeIfAbsent(request, id -> new ArrayList<>(1));
        before.stream().filter(other -> Double.isNaN(other.endedMs)).forEach(this::awaitEnd);
        before.add(made);
        if (route != null && now - unwanted.getOrDefault(route.sidecar + " " + endpoint, now) > graceMs + SLACK_MS) {
            broken.add("sent to " + endpoint + " although it drains or is gone: " + request);
        }
        return made;
    }

    /** The end of an attempt may be on its way while the next one has come by another. */
    private void awaitEnd(Attempt earlier) {
        scheduler.after(overlapMs, () -> {
            if (Double.isNaN(earlier.endedMs)) {
                broken.add("two attempts at once: " + earlier.request);
            }
        });
    }

    /** A sidecar has been told whether an endpoint wants anything new. */
    void told(String sidecar, String endpoint, boolean wanted) {
        if (wanted) {
            unwanted.remove(sidecar + " " + endpoint);
        } else {
            unwanted.putIfAbsent(sidecar + " " + endpoint, scheduler.nowMs());
        }
    }

    /** A rule was broken. */
    void broken(String what) {
        broken.add(what);
    }

    /** The sidecar that a request was sent to. */
    public String sidecar(String request) {
        Route route = routes.get(request);
        return route == null ? "" : route.sidecar;
    }

    /** All attempts, in the order in which they came. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** The attempts of one request. */
    public List<Attempt> of(String request) {
        return byRequest.getOrDefault(request, List.of());
    }

    /** Rules broken that were seen at once. */
    public List<String> broken() {
        return broken;
    }
}
