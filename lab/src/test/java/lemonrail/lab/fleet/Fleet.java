package lemonrail.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import lemonrail.core.WatchSchedule;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import lemonrail.core.policy.BoxcarLoadBalancer;
import lemonrail.lab.model.EndpointModel;
import lemonrail.lab.model.EndpointShape;
import lemonrail.lab.model.Rack;
import lemonrail.lab.model.Registry;
import lemonrail.lab.model.Scheduler;
import lemonrail.lab.model.VirtualScheduler;
import lemonrail.lab.model.Work;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates many sidecars and many endpoints in one thread and on virtual time. It counts over the entire fleet and
 * checks the rules of each load balancer: one final response by the deadline; safe retries; no requests to endpoints
 * that left; no overload of cold endpoints.
 */
final class Fleet {

    /** The load balancers' clock when the run begins; high, so that a start time of 0 is in the distant past. */
    static final double EPOCH_MS = 1_000_000;

    static final double LATENCY_OBJECTIVE_MS = 2000;
    static final double DEADLINE_MS = 5000;
    private static final double KEY_WINDOW_MS = 4000;
    private static final double DRAIN_GRACE_MS = 1000;
    private static final double DEADLINE_TOLERANCE_MS = 20;
    private static final double NETWORK_DELAY_MS = 0.5;
    private static final double CONNECT_TIMEOUT_MS = 250;
    private static final double IDLE_TIMEOUT_MS = 15_000;
    static final double MEAN_WORK_MS = 80;
    /** The time that a call to the next tier takes. The endpoint keeps the request's slot for that time. */
    private static final double NEXT_TIER_MS = 250;

    static final double COLD_CAPACITY_FRACTION = 0.2;
    static final double WARM_UP_MS = 15_000;
    static final double TIP_MULTIPLE = 3;
    private static final double TIP_WINDOW_MS = 3000;
    /** Time from the start of an endpoint's drain to the start of its replacement. */
    static final double REPLACEMENT_DELAY_MS = 1500;

    private static final int RACK_SIZE = 8;

    final VirtualScheduler scheduler = new VirtualScheduler();
    final Map<String, EndpointModel> endpoints = new LinkedHashMap<>();
    final List<Sidecar> sidecars = new ArrayList<>();
    final Registry registry;
    private final SplittableRandom random;
    private final List<Rack> racks = new ArrayList<>();
    private final double requestsPerSecond;
    private final double meanWorkMs;
    private final double tipMultiple;
    private final Map<String, Integer> openConnections = new HashMap<>();
    private final Map<String, Integer> maxOpenConnections = new HashMap<>();
    private final Map<String, Integer> servedByEndpoint = new HashMap<>();
    private final TreeMap<Long, Integer> discoveryCallsBySecond = new TreeMap<>();
    /** The complete requests that a cold endpoint received from sidecars that knew of its start, by endpoint id. */
    private final Map<String, List<ColdSend>> coldSends = new LinkedHashMap<>();

    private int endpointsCreated;
    int requestCount;
    int attemptCount;
    int servedInTimeCount;
    int rejectedCount;
    int failedCount;
    int handshakeCount;
    /** Descriptions of the rule violations. */
    final List<String> violations = new ArrayList<>();

    /**
     * Creates a fleet of sidecars and warm endpoints.
     *
     * @param load the requested work as a fraction of the endpoints' capacity
     */
    Fleet(int sidecarCount, int endpointCount, double load, long seed) {
        this(sidecarCount, endpointCount, load, seed, MEAN_WORK_MS, TIP_MULTIPLE);
    }

    /**
     * Creates a fleet with this mean work per request, whose cold endpoints collapse if they are sent more than
     * {@code tipMultiple} times their present capacity.
     */
    Fleet(int sidecarCount, int endpointCount, double load, long seed, double meanWorkMs, double tipMultiple) {
        this.meanWorkMs = meanWorkMs;
        this.tipMultiple = tipMultiple;
        random = new SplittableRandom(seed);
        registry = new Registry(scheduler, RandomSource.XO_SHI_RO_256_PP.create(seed), true, 0, 200, 1500);
        requestsPerSecond = load * endpointCount * 1000 / meanWorkMs;
        for (int i = 0; i < endpointCount; i++) {
            addEndpoint(false);
        }
        for (int i = 0; i < sidecarCount; i++) {
            sidecars.add(new Sidecar(i, sidecarCount, random.nextLong()));
        }
    }

    /** Adds an endpoint and registers it; it is either cold or fully warm. Returns its id. */
    String addEndpoint(boolean cold) {
        String id = "e" + Long.toHexString(random.nextLong() >>> 32) + endpointsCreated++;
        if (endpointsCreated % RACK_SIZE == 1) {
            racks.add(new Rack(scheduler, KEY_WINDOW_MS));
        }
        EndpointModel endpoint = new EndpointModel(
                scheduler,
                new EndpointShape(
                        id,
                        racks.size() - 1,
                        1,
                        1,
                        20,
                        20,
                        600,
                        2,
                        new EndpointShape.ColdStart(
                                COLD_CAPACITY_FRACTION,
                                WARM_UP_MS,
                                EndpointShape.Warming.TIME,
                                tipMultiple,
                                TIP_WINDOW_MS),
                        new EndpointShape.Crowding(7, 2500, 2.5, 3500, 25_000)),
                racks.get(racks.size() - 1));
        endpoints.put(id, endpoint);
        if (cold) {
            endpoint.start();
        }
        register(id, Registry.State.IN_SERVICE);
        return id;
    }

    void register(String id, Registry.State state) {
        registry.set(new Registry.Entry(id, state, endpoints.get(id).startedMs()));
    }

    /** Drains an endpoint, which stops soon after, and starts a cold endpoint as its replacement. */
    void replace(String id) {
        endpoints.get(id).drain(true);
        register(id, Registry.State.TERMINATING);
        scheduler.after(6000, () -> {
            endpoints.get(id).vanish();
            register(id, Registry.State.TERMINATED);
        });
        scheduler.after(REPLACEMENT_DELAY_MS, () -> addEndpoint(true));
    }

    /** Sends requests to random sidecars until this time, and then waits until all have a final response. */
    void run(double untilMs) {
        scheduleNextArrival(untilMs);
        scheduler.runUntil(untilMs + DEADLINE_MS + 2 * TIP_WINDOW_MS);
        sidecars.forEach(Sidecar::checkFinalResponses);
        endpoints.forEach((id, endpoint) -> {
            if (endpoint.hasCollapsed()) {
                violations.add(id + " was overloaded while cold");
            }
        });
    }

    private void scheduleNextArrival(double untilMs) {
        scheduler.after(-Math.log1p(-random.nextDouble()) * 1000 / requestsPerSecond, () -> {
            if (scheduler.nowMs() < untilMs) {
                sidecars.get(random.nextInt(sidecars.size())).sendRequest();
                scheduleNextArrival(untilMs);
            }
        });
    }

    // ---- counts over the fleet ----

    double servedInTimeFraction() {
        return (double) servedInTimeCount / requestCount;
    }

    double attemptsPerRequest() {
        return (double) attemptCount / requestCount;
    }

    int maxConnections() {
        return maxOpenConnections.values().stream()
                .mapToInt(count -> count)
                .max()
                .orElse(0);
    }

    /** Returns the number of requests served by the busiest endpoint, as a multiple of the mean over all endpoints. */
    double maxToMeanServed() {
        double mean =
                servedByEndpoint.values().stream().mapToInt(count -> count).sum() / (double) endpoints.size();
        return servedByEndpoint.values().stream().mapToInt(count -> count).max().orElse(0) / mean;
    }

    /** Returns the number of requests whose first success response came from this endpoint. */
    int servedBy(String id) {
        return servedByEndpoint.getOrDefault(id, 0);
    }

    /** Returns the maximum number of calls to discovery in any second, summed over all sidecars. */
    int maxDiscoveryCallsPerSecond() {
        return discoveryCallsBySecond.values().stream()
                .mapToInt(calls -> calls)
                .max()
                .orElse(0);
    }

    /**
     * Returns the window of length TIP_WINDOW_MS in which a cold endpoint was sent the most relative to its
     * budget at that time. Only sidecars that knew of its start count. All complete requests count, also rejected
     * ones.
     */
    ColdWindow worstColdWindow() {
        ColdWindow worst = new ColdWindow("none", 0, 0, 0, 1);
        for (Map.Entry<String, List<ColdSend>> sends : coldSends.entrySet()) {
            double startedMs = endpoints.get(sends.getKey()).startedMs();
            List<ColdSend> all = sends.getValue();
            double workMs = 0;
            int first = 0;
            for (int last = 0; last < all.size(); last++) {
                double atMs = all.get(last).atMs();
                workMs += all.get(last).workMs();
                while (atMs - all.get(first).atMs() > TIP_WINDOW_MS) {
                    workMs -= all.get(first).workMs();
                    first++;
                }
                // The capacity at the start of the window, which is its lowest.
                double ageMs = Math.max(0, atMs - TIP_WINDOW_MS - startedMs);
                double capacityFraction =
                        COLD_CAPACITY_FRACTION + (1 - COLD_CAPACITY_FRACTION) * Math.min(1, ageMs / WARM_UP_MS);
                ColdWindow window = new ColdWindow(
                        sends.getKey(),
                        atMs - startedMs,
                        last - first + 1,
                        workMs / meanWorkMs,
                        tipMultiple * capacityFraction * TIP_WINDOW_MS / meanWorkMs);
                worst = window.fractionOfLimit() > worst.fractionOfLimit() ? window : worst;
            }
        }
        return worst;
    }

    /** A complete request that a cold endpoint received, and its work. */
    private record ColdSend(double atMs, double workMs) {}

    /**
     * What a cold endpoint was sent within one window.
     *
     * @param sinceStartMs time from the endpoint's start to the end of the window
     * @param sent number of requests
     * @param work work of these requests, in requests of mean work
     * @param budget what the endpoint can take, in requests of mean work
     */
    record ColdWindow(String id, double sinceStartMs, int sent, double work, double budget) {
        /**
         * Returns the larger of number and work of the requests, as a fraction of the highest value that random
         * arrivals explain at this budget.
         */
        double fractionOfLimit() {
            return Math.max(sent, work) / (budget + 2 * Math.sqrt(budget) + 2);
        }
    }

    /** One sidecar: a load balancer with its connections, its watch and its requests in flight. */
    final class Sidecar implements LoadBalancerHost {
        private final BalancerSettings settings;
        private final BoxcarLoadBalancer balancer;
        private final WatchSchedule watchSchedule;
        private final Registry.Agent agent;
        private final Map<String, OpenRequest> requests = new HashMap<>();
        private final Map<String, List<Scheduler.ScheduledAction>> idle = new HashMap<>();
        private final Map<String, Double> leftAtMs = new HashMap<>();
        private final Set<String> knownEndpoints = new HashSet<>();
        /** The last start time that this sidecar received for each endpoint. */
        private final Map<String, Double> knownStartMs = new HashMap<>();

        private long version;
        private long lastWatchId;
        private int nextRequestNumber;
        /** If true, the response to the current watch is lost without any error. */
        boolean losesWatchResponse;
        /** Additional delay before this sidecar receives changes. */
        double updateDelayMs;
        /** Maximum additional delay of each connection that this sidecar opens. */
        double maxConnectDelayMs;

        Sidecar(int number, int sidecarCount, long seed) {
            settings = new BalancerSettings(
                    sidecarCount,
                    number,
                    0,
                    0,
                    false,
                    false,
                    0.2,
                    0,
                    List.of(
                            new RequestClass(
                                    "read",
                                    LATENCY_OBJECTIVE_MS,
                                    DEADLINE_MS,
                                    5,
                                    0,
                                    Idempotency.IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0,
                                    false),
                            new RequestClass(
                                    "save",
                                    LATENCY_OBJECTIVE_MS,
                                    DEADLINE_MS,
                                    8,
                                    0,
                                    Idempotency.KEYED,
                                    DeduplicationScope.CELL,
                                    KEY_WINDOW_MS,
                                    false),
                            new RequestClass(
                                    "order",
                                    LATENCY_OBJECTIVE_MS,
                                    DEADLINE_MS,
                                    5,
                                    0,
                                    Idempotency.NON_IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0,
                                    false)),
                    List.of(),
                    new AttemptLimits(4, false, true, 2000, CONNECT_TIMEOUT_MS),
                    new SlowStartSettings(COLD_CAPACITY_FRACTION, WARM_UP_MS, tipMultiple, TIP_WINDOW_MS),
                    new DrainSettings(DRAIN_GRACE_MS),
                    10_000);
            balancer = new BoxcarLoadBalancer(settings, seed, this);
            watchSchedule = WatchSchedule.ofFleet(sidecarCount, DRAIN_GRACE_MS, seed);
            agent = registry.agent(entry -> {});
            agent.fetchAll(this::onResponse);
        }

        // ---- the list ----

        private void onResponse(Registry.Response response) {
            version = response.version();
            watchSchedule.onResponse();
            List<Endpoint> updates =
                    response.entries().stream().map(this::toEndpoint).toList();
            Set<String> missing = new HashSet<>(knownEndpoints);
            updates.forEach(update -> missing.remove(update.id()));
            if (response.full()) {
                missing.forEach(id -> leftAtMs.putIfAbsent(id, scheduler.nowMs()));
            }
            for (Endpoint update : updates) {
                knownEndpoints.add(update.id());
                if (update.state() == EndpointState.READY) {
                    leftAtMs.remove(update.id());
                } else {
                    leftAtMs.putIfAbsent(update.id(), scheduler.nowMs());
                }
            }
            response.entries().forEach(entry -> knownStartMs.put(entry.id(), entry.startedMs()));
            balancer.onEndpointUpdate(
                    now(), response.full() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, updates);
            watch();
        }

        private Endpoint toEndpoint(Registry.Entry entry) {
            return new Endpoint(
                    entry.id(),
                    0,
                    0,
                    endpoints.get(entry.id()).shape().rack(),
                    entry.startedMs() == Double.NEGATIVE_INFINITY ? 0 : EPOCH_MS + entry.startedMs(),
                    switch (entry.state()) {
                        case IN_SERVICE -> EndpointState.READY;
                        case TERMINATING -> EndpointState.DRAINING;
                        case TERMINATED -> EndpointState.GONE;
                    },
                    1);
        }

        private void watch() {
            long watchId = ++lastWatchId;
            discoveryCallsBySecond.merge((long) (scheduler.nowMs() / 1000), 1, Integer::sum);
            scheduler.after(watchSchedule.waitMs() + WatchSchedule.silenceTimeoutMs() + updateDelayMs, () -> {
                if (watchId == lastWatchId) {
                    losesWatchResponse = false;
                    scheduler.after(watchSchedule.onFailure(), this::watch);
                }
            });
            agent.watch(
                    version,
                    watchSchedule.waitMs(),
                    response -> scheduler.after(updateDelayMs, () -> {
                        if (watchId == lastWatchId && !losesWatchResponse) {
                            onResponse(response);
                        }
                    }));
        }

        /** Returns whether this sidecar knows of the endpoint's last start. */
        private boolean knowsOfStart(String id) {
            return knownStartMs.getOrDefault(id, Double.NaN)
                    == endpoints.get(id).startedMs();
        }

        /** Returns whether this sidecar knows that the endpoint is draining or gone. */
        boolean knowsOfLeaving(String id) {
            return leftAtMs.containsKey(id);
        }

        // ---- requests ----

        private double now() {
            return EPOCH_MS + scheduler.nowMs();
        }

        void sendRequest() {
            int draw = random.nextInt(10);
            OpenRequest request = new OpenRequest(
                    settings.balancerIndex() + "-" + nextRequestNumber++, draw < 6 ? 0 : draw < 9 ? 1 : 2);
            requests.put(request.id, request);
            requestCount++;
            balancer.onRequest(now(), new Request(request.id, request.classIndex, 0, now() + DEADLINE_MS, false));
        }

        private void recordFinalResponse(OpenRequest request) {
            if (request.finalResponses++ > 0) {
                violations.add(request.id + " got more than one final response");
            }
            if (scheduler.nowMs() > request.arrivedMs + DEADLINE_MS + DEADLINE_TOLERANCE_MS) {
                violations.add(request.id + " got its final response after the deadline");
            }
        }

        void checkFinalResponses() {
            requests.values().stream()
                    .filter(request -> request.finalResponses != 1)
                    .forEach(request ->
                            violations.add(request.id + " got " + request.finalResponses + " final responses"));
        }

        @Override
        public void startAttempt(String id, String endpointId, double timeoutMs) {
            OpenRequest request = requests.get(id);
            attemptCount++;
            checkAttemptRules(request, endpointId);
            Attempt attempt = new Attempt(request, request.attempts.size(), endpointId);
            request.attempts.add(attempt);
            double remainingMs = request.arrivedMs + DEADLINE_MS - scheduler.nowMs();
            attempt.timeout = scheduler.after(
                    timeoutMs <= 0 ? remainingMs : Math.min(timeoutMs, remainingMs), attempt::onTimeout);
            connect(attempt);
        }

        /** Records violations of the rules on retries and draining endpoints. */
        private void checkAttemptRules(OpenRequest request, String endpointId) {
            int rack = endpoints.get(endpointId).shape().rack();
            for (Attempt earlier : request.attempts) {
                boolean mayHaveExecuted = earlier.outcome != null && !earlier.outcome.provesNotExecuted();
                Idempotency idempotency =
                        settings.classes().get(request.classIndex).idempotency();
                if (earlier.outcome == null
                        || (mayHaveExecuted
                                && (idempotency == Idempotency.NON_IDEMPOTENT
                                        || (idempotency == Idempotency.KEYED
                                                && (endpoints
                                                                        .get(earlier.endpointId)
                                                                        .shape()
                                                                        .rack()
                                                                != rack
                                                        || scheduler.nowMs() - earlier.sentMs > KEY_WINDOW_MS))))) {
                    violations.add(
                            request.id + " was retried although an earlier attempt ended with " + earlier.outcome);
                }
            }
            if (request.finalResponses > 0) {
                violations.add(request.id + " was sent again after its final response");
            }
            if (leftAtMs.containsKey(endpointId) && scheduler.nowMs() > leftAtMs.get(endpointId) + DRAIN_GRACE_MS) {
                violations.add(request.id + " was sent to " + endpointId + " after its drain grace period");
            }
        }

        private void connect(Attempt attempt) {
            List<Scheduler.ScheduledAction> idleConnections =
                    idle.computeIfAbsent(attempt.endpointId, endpointId -> new ArrayList<>());
            EndpointModel endpoint = endpoints.get(attempt.endpointId);
            if (!idleConnections.isEmpty()) {
                idleConnections.remove(idleConnections.size() - 1).cancel();
                attempt.connected = true;
                scheduler.after(NETWORK_DELAY_MS, attempt::onArrived);
            } else if (endpoint.isSilent()) {
                scheduler.after(CONNECT_TIMEOUT_MS, () -> attempt.end(AttemptOutcome.CONNECT_ERROR));
            } else if (!endpoint.connect()) {
                scheduler.after(NETWORK_DELAY_MS, () -> attempt.end(AttemptOutcome.CONNECT_ERROR));
            } else {
                handshakeCount++;
                attempt.connected = true;
                int openCount = openConnections.merge(attempt.endpointId, 1, Integer::sum);
                maxOpenConnections.merge(attempt.endpointId, openCount, Math::max);
                double delayMs = maxConnectDelayMs > 0 ? random.nextDouble() * maxConnectDelayMs : 0;
                scheduler.after(2 * NETWORK_DELAY_MS + delayMs, () -> endpoint.handshake(attempt::onArrived));
            }
        }

        private void keepConnection(Attempt attempt) {
            List<Scheduler.ScheduledAction> idleConnections = idle.get(attempt.endpointId);
            Scheduler.ScheduledAction[] closeAction = new Scheduler.ScheduledAction[1];
            closeAction[0] = scheduler.after(IDLE_TIMEOUT_MS, () -> {
                idleConnections.remove(closeAction[0]);
                closeConnection(attempt.endpointId);
            });
            idleConnections.add(closeAction[0]);
        }

        private void closeConnection(String endpointId) {
            endpoints.get(endpointId).disconnect();
            openConnections.merge(endpointId, -1, Integer::sum);
        }

        @Override
        public void closeIdleConnections(String endpointId) {
            List<Scheduler.ScheduledAction> idleConnections = idle.getOrDefault(endpointId, new ArrayList<>());
            idleConnections.forEach(Scheduler.ScheduledAction::cancel);
            idleConnections.forEach(action -> closeConnection(endpointId));
            idleConnections.clear();
        }

        @Override
        public void reject(String id, double retryAfterMs) {
            OpenRequest request = requests.get(id);
            RequestClass requestClass = settings.classes().get(request.classIndex);
            if (!requestClass.mayRejectAfterExecution()
                    && request.attempts.stream()
                            .anyMatch(attempt -> attempt.outcome == null || !attempt.outcome.provesNotExecuted())) {
                violations.add(id + " was rejected although an attempt may have run");
            }
            rejectedCount++;
            recordFinalResponse(request);
        }

        @Override
        public void fail(String id) {
            failedCount++;
            recordFinalResponse(requests.get(id));
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            throw new IllegalStateException("clients do not disconnect in this simulation");
        }

        @Override
        public void startTimer(double inMs, long name) {
            scheduler.after(inMs, () -> balancer.onTimer(now(), name));
        }

        @Override
        public void pollEndpoints() {
            throw new IllegalStateException("the endpoint list is pushed, not polled, in this simulation");
        }

        @Override
        public void log(String line) {
            // The simulation has no log.
        }

        private final class OpenRequest {
            private final String id;
            private final int classIndex;
            private final double arrivedMs = scheduler.nowMs();
            private final double workMs = -Math.log1p(-random.nextDouble()) * meanWorkMs;
            private final List<Attempt> attempts = new ArrayList<>();
            private int finalResponses;

            OpenRequest(String id, int classIndex) {
                this.id = id;
                this.classIndex = classIndex;
            }
        }

        private final class Attempt extends Work {
            private final OpenRequest request;
            private final int number;
            private final String endpointId;
            private final double sentMs = scheduler.nowMs();
            private Scheduler.ScheduledAction timeout;
            private boolean connected;
            private boolean arrived;
            private AttemptOutcome outcome;

            Attempt(OpenRequest request, int number, String endpointId) {
                super(request.classIndex == 1 ? request.id : null, request.workMs, 1);
                this.request = request;
                this.number = number;
                this.endpointId = endpointId;
            }

            private void onArrived() {
                if (outcome == null) {
                    arrived = true;
                    EndpointModel endpoint = endpoints.get(endpointId);
                    if (endpoint.capacityFraction() < 1 && knowsOfStart(endpointId)) {
                        coldSends
                                .computeIfAbsent(endpointId, id -> new ArrayList<>())
                                .add(new ColdSend(scheduler.nowMs(), request.workMs));
                    }
                    endpoint.offer(this);
                }
            }

            private void onTimeout() {
                if (arrived) {
                    endpoints.get(endpointId).cancel(this);
                }
                end(arrived ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_ERROR);
            }

            private void end(AttemptOutcome result) {
                if (outcome != null) {
                    return;
                }
                outcome = result;
                timeout.cancel();
                if (connected && result != AttemptOutcome.TIMED_OUT && result != AttemptOutcome.CONNECT_ERROR) {
                    keepConnection(this);
                } else if (connected) {
                    closeConnection(endpointId);
                }
                boolean isFirstSuccess = result == AttemptOutcome.OK && request.finalResponses == 0;
                if (isFirstSuccess) {
                    recordFinalResponse(request);
                    servedByEndpoint.merge(endpointId, 1, Integer::sum);
                    servedInTimeCount += scheduler.nowMs() - request.arrivedMs <= LATENCY_OBJECTIVE_MS ? 1 : 0;
                }
                balancer.onAttemptFinished(
                        now(),
                        new AttemptResult(
                                request.id,
                                number,
                                endpointId,
                                result,
                                scheduler.nowMs() - sentMs,
                                isFirstSuccess || request.finalResponses > 0,
                                LoadReport.NONE));
            }

            @Override
            protected void onStarted() {
                // Requests are counted when they are answered.
            }

            @Override
            protected void callNextTier(Consumer<Boolean> done) {
                scheduler.after(NEXT_TIER_MS, () -> done.accept(true));
            }

            @Override
            protected void onAnswered(Answer answer) {
                scheduler.after(
                        NETWORK_DELAY_MS,
                        () -> end(
                                switch (answer) {
                                    case SERVED -> AttemptOutcome.OK;
                                    case ERROR -> AttemptOutcome.FAILED;
                                    case TURNED_AWAY -> AttemptOutcome.QUEUE_FULL;
                                }));
            }
        }
    }
}
