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
 * Many deciders before many endpoints in one thread and on virtual time: it counts over the whole fleet and
 * holds each decider to the four rules.
 */
final class Fleet {

    /** The deciders' clock when the run begins: a start time of 0 is the distant past to them. */
    static final double EPOCH_MS = 1_000_000;

    static final double AIM_MS = 2000;
    static final double DEADLINE_MS = 5000;
    private static final double KEY_WINDOW_MS = 4000;
    private static final double GRACE_MS = 1000;
    private static final double SLACK_MS = 20;
    private static final double NET_MS = 0.5;
    private static final double CONNECT_TIMEOUT_MS = 250;
    private static final double IDLE_MS = 15_000;
    static final double MEAN_WORK_MS = 80;
    /** What the next tier takes, while the endpoint keeps the request's slot. */
    private static final double DOWNSTREAM_MS = 250;

    static final double COLD_SHARE = 0.2;
    static final double COLD_MS = 15_000;
    static final double TIP_MULTIPLE = 3;
    private static final double TIP_MS = 3000;
    /** How long after the word that an endpoint drains the one in its place starts. */
    static final double REPLACED_AFTER_MS = 1500;

    private static final int RACK_SIZE = 8;

    final VirtualScheduler scheduler = new VirtualScheduler();
    final Map<String, EndpointModel> endpoints = new LinkedHashMap<>();
    final List<Member> members = new ArrayList<>();
    final Registry registry;
    private final SplittableRandom random;
    private final List<Rack> racks = new ArrayList<>();
    private final double perSecond;
    private final double meanWorkMs;
    private final double tipMultiple;
    private final Map<String, Integer> open = new HashMap<>();
    private final Map<String, Integer> mostOpen = new HashMap<>();
    private final Map<String, Integer> served = new HashMap<>();
    private final TreeMap<Long, Integer> listCalls = new TreeMap<>();
    /** What came whole to a cold endpoint from members who had been told of its start, by its id. */
    private final Map<String, List<ColdSend>> coldSends = new LinkedHashMap<>();

    private int named;
    int firstTries;
    int attempts;
    int servedInTime;
    int refused;
    int failed;
    int handshakes;
    /** What breaks a rule, in words. */
    final List<String> breaks = new ArrayList<>();

    /** So many deciders and warm endpoints, with this part of what the endpoints can do asked for. */
    Fleet(int deciders, int servers, double load, long seed) {
        this(deciders, servers, load, seed, MEAN_WORK_MS, TIP_MULTIPLE);
    }

    /** The same with requests of this mean work, and cold endpoints that fall beyond this multiple. */
    Fleet(int deciders, int servers, double load, long seed, double meanWorkMs, double tipMultiple) {
        this.meanWorkMs = meanWorkMs;
        this.tipMultiple = tipMultiple;
        random = new SplittableRandom(seed);
        registry = new Registry(scheduler, RandomSource.XO_SHI_RO_256_PP.create(seed), true, 0, 200, 1500);
        perSecond = load * servers * 1000 / meanWorkMs;
        for (int i = 0; i < servers; i++) {
            add(false);
        }
        for (int i = 0; i < deciders; i++) {
            members.add(new Member(i, deciders, random.nextLong()));
        }
    }

    /** One more endpoint, which is told of; cold or as if it had run for long. */
    String add(boolean cold) {
        String id = "e" + Long.toHexString(random.nextLong() >>> 32) + named++;
        if (named % RACK_SIZE == 1) {
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
                                COLD_SHARE, COLD_MS, EndpointShape.Warming.TIME, tipMultiple, TIP_MS),
                        new EndpointShape.Crowding(7, 2500, 2.5, 3500, 25_000)),
                racks.get(racks.size() - 1));
        endpoints.put(id, endpoint);
        if (cold) {
            endpoint.start();
        }
        tell(id, Registry.State.IN_SERVICE);
        return id;
    }

    void tell(String id, Registry.State state) {
        registry.set(new Registry.Entry(id, state, endpoints.get(id).startedMs()));
    }

    /** Drains an endpoint, which ends soon after; another, cold one comes in its place. */
    void replace(String id) {
        endpoints.get(id).drain(true);
        tell(id, Registry.State.TERMINATING);
        scheduler.after(6000, () -> {
            endpoints.get(id).vanish();
            tell(id, Registry.State.TERMINATED);
        });
        scheduler.after(REPLACED_AFTER_MS, () -> add(true));
    }

    /** Has requests come to all deciders for so long, then waits until all are answered. */
    void play(double untilMs) {
        arrive(untilMs);
        scheduler.runUntil(untilMs + DEADLINE_MS + 2 * TIP_MS);
        members.forEach(Member::end);
        endpoints.forEach((id, endpoint) -> {
            if (endpoint.hasCollapsed()) {
                breaks.add(id + " was sent too much while cold");
            }
        });
    }

    private void arrive(double untilMs) {
        scheduler.after(-Math.log1p(-random.nextDouble()) * 1000 / perSecond, () -> {
            if (scheduler.nowMs() < untilMs) {
                members.get(random.nextInt(members.size())).request();
                arrive(untilMs);
            }
        });
    }

    // ---- counts over the fleet ----

    double servedShare() {
        return (double) servedInTime / firstTries;
    }

    double attemptsPerTry() {
        return (double) attempts / firstTries;
    }

    int mostConnections() {
        return mostOpen.values().stream().mapToInt(most -> most).max().orElse(0);
    }

    /** How many answers the busiest endpoint has given for each of the mean one. */
    double unevenness() {
        double mean = served.values().stream().mapToInt(one -> one).sum() / (double) endpoints.size();
        return served.values().stream().mapToInt(one -> one).max().orElse(0) / mean;
    }

    /** How many requests this endpoint has answered first. */
    int servedBy(String id) {
        return served.getOrDefault(id, 0);
    }

    /** The most calls to discovery in any second, of all deciders together. */
    int mostListCalls() {
        return listCalls.values().stream().mapToInt(calls -> calls).max().orElse(0);
    }

    /**
     * What cold endpoints were sent by those who had been told of their start, in the window of the settings
     * in which it was the most for what they allow then. All that comes whole counts, also if turned away.
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
                while (atMs - all.get(first).atMs() > TIP_MS) {
                    workMs -= all.get(first).workMs();
                    first++;
                }
                // As little as it can do at any time of the window.
                double sinceMs = Math.max(0, atMs - TIP_MS - startedMs);
                double warmth = COLD_SHARE + (1 - COLD_SHARE) * Math.min(1, sinceMs / COLD_MS);
                ColdWindow window = new ColdWindow(
                        sends.getKey(),
                        atMs - startedMs,
                        last - first + 1,
                        workMs / meanWorkMs,
                        tipMultiple * warmth * TIP_MS / meanWorkMs);
                worst = window.share() > worst.share() ? window : worst;
            }
        }
        return worst;
    }

    /** A request that came whole to a cold endpoint, and its work. */
    private record ColdSend(double atMs, double workMs) {}

    /**
     * A window that ends so long after an endpoint's start, the requests it was sent then, by number and in
     * requests of mean work, and its budget.
     */
    record ColdWindow(String id, double sinceStartMs, int sent, double work, double budget) {
        /** What was sent of the most that is put down to chance, by number or work, whichever is more. */
        double share() {
            return Math.max(sent, work) / (budget + 2 * Math.sqrt(budget) + 2);
        }
    }

    /** One decider with its connections, its watch and its open requests. */
    final class Member implements LoadBalancerHost {
        private final BalancerSettings settings;
        private final BoxcarLoadBalancer decide;
        private final WatchSchedule pace;
        private final Registry.Agent agent;
        private final Map<String, Open> requests = new HashMap<>();
        private final Map<String, List<Scheduler.ScheduledAction>> idle = new HashMap<>();
        private final Map<String, Double> leftAt = new HashMap<>();
        private final Set<String> listed = new HashSet<>();
        /** The starts that it has been told of. */
        private final Map<String, Double> told = new HashMap<>();

        private long version;
        private long watch;
        private int numbered;
        /** The watch that is on gets no answer, though nothing says so. */
        boolean deaf;
        /** So much later than others it hears of changes. */
        double lateMs;
        /** The most by which a connection that it opens comes up late. */
        double lateConnectionMs;

        Member(int number, int of, long seed) {
            settings = new BalancerSettings(
                    of,
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
                                    AIM_MS,
                                    DEADLINE_MS,
                                    5,
                                    0,
                                    Idempotency.IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0,
                                    false),
                            new RequestClass(
                                    "save",
                                    AIM_MS,
                                    DEADLINE_MS,
                                    8,
                                    0,
                                    Idempotency.KEYED,
                                    DeduplicationScope.CELL,
                                    KEY_WINDOW_MS,
                                    false),
                            new RequestClass(
                                    "order",
                                    AIM_MS,
                                    DEADLINE_MS,
                                    5,
                                    0,
                                    Idempotency.NON_IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0,
                                    false)),
                    List.of(),
                    new AttemptLimits(4, false, true, 2000, CONNECT_TIMEOUT_MS),
                    new SlowStartSettings(COLD_SHARE, COLD_MS, tipMultiple, TIP_MS),
                    new DrainSettings(GRACE_MS),
                    10_000);
            decide = new BoxcarLoadBalancer(settings, seed, this);
            pace = WatchSchedule.ofFleet(of, GRACE_MS, seed);
            agent = registry.agent(line -> {});
            agent.fetchAll(this::listed);
        }

        // ---- the list ----

        private void listed(Registry.Response answer) {
            version = answer.version();
            pace.onResponse();
            List<Endpoint> servers = answer.entries().stream().map(this::server).toList();
            Set<String> gone = new HashSet<>(listed);
            servers.forEach(server -> gone.remove(server.id()));
            if (answer.full()) {
                gone.forEach(id -> leftAt.putIfAbsent(id, scheduler.nowMs()));
            }
            for (Endpoint server : servers) {
                listed.add(server.id());
                if (server.state() == EndpointState.READY) {
                    leftAt.remove(server.id());
                } else {
                    leftAt.putIfAbsent(server.id(), scheduler.nowMs());
                }
            }
            answer.entries().forEach(line -> told.put(line.id(), line.startedMs()));
            decide.onEndpointUpdate(
                    now(), answer.full() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, servers);
            watch();
        }

        private Endpoint server(Registry.Entry line) {
            return new Endpoint(
                    line.id(),
                    0,
                    0,
                    endpoints.get(line.id()).shape().rack(),
                    line.startedMs() == Double.NEGATIVE_INFINITY ? 0 : EPOCH_MS + line.startedMs(),
                    switch (line.state()) {
                        case IN_SERVICE -> EndpointState.READY;
                        case TERMINATING -> EndpointState.DRAINING;
                        case TERMINATED -> EndpointState.GONE;
                    },
                    1);
        }

        private void watch() {
            long call = ++watch;
            listCalls.merge((long) (scheduler.nowMs() / 1000), 1, Integer::sum);
            scheduler.after(pace.waitMs() + WatchSchedule.silenceTimeoutMs() + lateMs, () -> {
                if (call == watch) {
                    deaf = false;
                    scheduler.after(pace.onFailure(), this::watch);
                }
            });
            agent.watch(
                    version,
                    pace.waitMs(),
                    answer -> scheduler.after(lateMs, () -> {
                        if (call == watch && !deaf) {
                            listed(answer);
                        }
                    }));
        }

        /** Whether it has been told of this endpoint's last start. */
        private boolean knowsOfStart(String id) {
            return told.getOrDefault(id, Double.NaN) == endpoints.get(id).startedMs();
        }

        /** Whether it has been told that this endpoint leaves. */
        boolean knowsOfLeaving(String id) {
            return leftAt.containsKey(id);
        }

        // ---- requests ----

        private double now() {
            return EPOCH_MS + scheduler.nowMs();
        }

        void request() {
            int kind = random.nextInt(10);
            Open made = new Open(settings.balancerIndex() + "-" + numbered++, kind < 6 ? 0 : kind < 9 ? 1 : 2);
            requests.put(made.id, made);
            firstTries++;
            decide.onRequest(now(), new Request(made.id, made.kind, 0, now() + DEADLINE_MS, false));
        }

        private void conclude(Open request) {
            if (request.answers++ > 0) {
                breaks.add(request.id + " was answered twice");
            }
            if (scheduler.nowMs() > request.arrivedMs + DEADLINE_MS + SLACK_MS) {
                breaks.add(request.id + " was answered late");
            }
        }

        void end() {
            requests.values().stream()
                    .filter(request -> request.answers != 1)
                    .forEach(request -> breaks.add(request.id + " had " + request.answers + " answers"));
        }

        @Override
        public void startAttempt(String id, String server, double timeoutMs) {
            Open request = requests.get(id);
            attempts++;
            mind(request, server);
            Try made = new Try(request, request.tries.size(), server);
            request.tries.add(made);
            double left = request.arrivedMs + DEADLINE_MS - scheduler.nowMs();
            made.timeout = scheduler.after(timeoutMs <= 0 ? left : Math.min(timeoutMs, left), made::giveUp);
            connect(made);
        }

        /** The rules on repeats and drains. */
        private void mind(Open request, String server) {
            int rack = endpoints.get(server).shape().rack();
            for (Try before : request.tries) {
                boolean mayHaveRun = before.outcome != null && !before.outcome.provesNotExecuted();
                Idempotency effect = settings.classes().get(request.kind).idempotency();
                if (before.outcome == null
                        || (mayHaveRun
                                && (effect == Idempotency.NON_IDEMPOTENT
                                        || (effect == Idempotency.KEYED
                                                && (endpoints
                                                                        .get(before.server)
                                                                        .shape()
                                                                        .rack()
                                                                != rack
                                                        || scheduler.nowMs() - before.sentMs > KEY_WINDOW_MS))))) {
                    breaks.add(request.id + " was repeated though " + before.outcome);
                }
            }
            if (request.answers > 0) {
                breaks.add(request.id + " was sent after its answer");
            }
            if (leftAt.containsKey(server) && scheduler.nowMs() > leftAt.get(server) + GRACE_MS) {
                breaks.add(request.id + " was sent to " + server + " which leaves");
            }
        }

        private void connect(Try made) {
            List<Scheduler.ScheduledAction> standing = idle.computeIfAbsent(made.server, server -> new ArrayList<>());
            EndpointModel endpoint = endpoints.get(made.server);
            if (!standing.isEmpty()) {
                standing.remove(standing.size() - 1).cancel();
                made.connected = true;
                scheduler.after(NET_MS, made::arrive);
            } else if (endpoint.isSilent()) {
                scheduler.after(CONNECT_TIMEOUT_MS, () -> made.end(AttemptOutcome.CONNECT_ERROR));
            } else if (!endpoint.connect()) {
                scheduler.after(NET_MS, () -> made.end(AttemptOutcome.CONNECT_ERROR));
            } else {
                handshakes++;
                made.connected = true;
                int now = open.merge(made.server, 1, Integer::sum);
                mostOpen.merge(made.server, now, Math::max);
                double lateMs = lateConnectionMs > 0 ? random.nextDouble() * lateConnectionMs : 0;
                scheduler.after(2 * NET_MS + lateMs, () -> endpoint.handshake(made::arrive));
            }
        }

        private void keep(Try made) {
            List<Scheduler.ScheduledAction> standing = idle.get(made.server);
            Scheduler.ScheduledAction[] closing = new Scheduler.ScheduledAction[1];
            closing[0] = scheduler.after(IDLE_MS, () -> {
                standing.remove(closing[0]);
                closed(made.server);
            });
            standing.add(closing[0]);
        }

        private void closed(String server) {
            endpoints.get(server).disconnect();
            open.merge(server, -1, Integer::sum);
        }

        @Override
        public void closeIdleConnections(String server) {
            List<Scheduler.ScheduledAction> standing = idle.getOrDefault(server, new ArrayList<>());
            standing.forEach(Scheduler.ScheduledAction::cancel);
            standing.forEach(due -> closed(server));
            standing.clear();
        }

        @Override
        public void reject(String id, double coolDownMs) {
            Open request = requests.get(id);
            RequestClass kind = settings.classes().get(request.kind);
            if (!kind.mayRejectAfterExecution()
                    && request.tries.stream()
                            .anyMatch(made -> made.outcome == null || !made.outcome.provesNotExecuted())) {
                breaks.add(id + " was refused though it may have run");
            }
            refused++;
            conclude(request);
        }

        @Override
        public void fail(String id) {
            failed++;
            conclude(requests.get(id));
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            throw new IllegalStateException("no client goes away here");
        }

        @Override
        public void startTimer(double inMs, long name) {
            scheduler.after(inMs, () -> decide.onTimer(now(), name));
        }

        @Override
        public void pollEndpoints() {
            throw new IllegalStateException("the list is pushed here");
        }

        @Override
        public void log(String line) {
            // Nobody reads it here.
        }

        private final class Open {
            private final String id;
            private final int kind;
            private final double arrivedMs = scheduler.nowMs();
            private final double workMs = -Math.log1p(-random.nextDouble()) * meanWorkMs;
            private final List<Try> tries = new ArrayList<>();
            private int answers;

            Open(String id, int kind) {
                this.id = id;
                this.kind = kind;
            }
        }

        private final class Try extends Work {
            private final Open request;
            private final int number;
            private final String server;
            private final double sentMs = scheduler.nowMs();
            private Scheduler.ScheduledAction timeout;
            private boolean connected;
            private boolean arrived;
            private AttemptOutcome outcome;

            Try(Open request, int number, String server) {
                super(request.kind == 1 ? request.id : null, request.workMs, 1);
                this.request = request;
                this.number = number;
                this.server = server;
            }

            private void arrive() {
                if (outcome == null) {
                    arrived = true;
                    EndpointModel endpoint = endpoints.get(server);
                    if (endpoint.capacityFraction() < 1 && knowsOfStart(server)) {
                        coldSends
                                .computeIfAbsent(server, id -> new ArrayList<>())
                                .add(new ColdSend(scheduler.nowMs(), request.workMs));
                    }
                    endpoint.offer(this);
                }
            }

            private void giveUp() {
                if (arrived) {
                    endpoints.get(server).cancel(this);
                }
                end(arrived ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_ERROR);
            }

            private void end(AttemptOutcome how) {
                if (outcome != null) {
                    return;
                }
                outcome = how;
                timeout.cancel();
                if (connected && how != AttemptOutcome.TIMED_OUT && how != AttemptOutcome.CONNECT_ERROR) {
                    keep(this);
                } else if (connected) {
                    closed(server);
                }
                boolean first = how == AttemptOutcome.OK && request.answers == 0;
                if (first) {
                    conclude(request);
                    served.merge(server, 1, Integer::sum);
                    servedInTime += scheduler.nowMs() - request.arrivedMs <= AIM_MS ? 1 : 0;
                }
                decide.onAttemptFinished(
                        now(),
                        new AttemptResult(
                                request.id,
                                number,
                                server,
                                how,
                                scheduler.nowMs() - sentMs,
                                first || request.answers > 0,
                                LoadReport.NONE));
            }

            @Override
            protected void onStarted() {
                // What it does is counted by its answer.
            }

            @Override
            protected void callNextTier(Consumer<Boolean> done) {
                scheduler.after(DOWNSTREAM_MS, () -> done.accept(true));
            }

            @Override
            protected void onAnswered(Answer answer) {
                scheduler.after(
                        NET_MS,
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
