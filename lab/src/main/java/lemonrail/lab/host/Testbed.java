package lemonrail.lab.host;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;
import lemonrail.lab.model.Arrivals;
import lemonrail.lab.model.ClientRequest;
import lemonrail.lab.model.Clients;
import lemonrail.lab.model.Fault;
import lemonrail.lab.model.Registry;
import lemonrail.lab.scenario.EdgeSettings;
import lemonrail.lab.scenario.Scenario;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs a scenario on loopback sockets: models of endpoints and discovery, a real sidecar for each caller of a tier,
 * and clients in an open loop. All models run on one event loop.
 */
public final class Testbed implements AutoCloseable {

    /** Time after a client's deadline within which a response does not yet violate a rule. */
    static final double ANSWER_SLACK_MS = 50;

    private static final int POLL_INTERVAL_MS = 100;
    /** Upper bound of the size of a request and its response together. */
    private static final double MAX_MESSAGE_BYTES = 1024;
    /** Time to wait for the last responses, beyond the longest deadline. */
    private static final double COMPLETION_TIMEOUT_MS = 1500;

    /** Build of the edge that sidecars in child processes run, unless their variant has its own. */
    public record Build(Path jar) {}

    private final Scenario scenario;
    private final Scenario.Variant variant;
    private final long seed;
    private final Build build;
    private final Path folder;
    private final BalancerSettings settings;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("testbed", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final EventLoopScheduler scheduler = new EventLoopScheduler(loop);
    private final AttemptRecorder recorder;
    private final ResponseRules responseRules;
    private final List<EndpointTier> tiers = new ArrayList<>();
    private final Map<String, SidecarHost> sidecars = new LinkedHashMap<>();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<ClientPool> clientPools = new ArrayList<>();
    private final List<String> clientSidecarNames = new ArrayList<>();
    private Clients clients;
    private FaultInjector faultInjector;
    private double startCpuMs;
    private double cpuMs;

    /** Starts endpoints, discovery and sidecars; {@code folder} receives the files and logs of the sidecars. */
    public Testbed(Scenario scenario, Scenario.Variant variant, long seed, Build build, Path folder)
            throws IOException, InterruptedException {
        this.scenario = scenario;
        this.variant = variant;
        this.seed = seed;
        this.build = build;
        this.folder = Files.createDirectories(folder);
        settings = EdgeSettings.load(scenario.edgeFile(), variant.overrides());
        recorder = new AttemptRecorder(scheduler, settings.drain().graceMs(), maxLinkDifferenceMs());
        responseRules = new ResponseRules(
                scheduler,
                recorder,
                settings.limits().maxAttempts(),
                scenario.clientLink().isPassThrough());
        try {
            start();
        } catch (IOException | InterruptedException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private void start() throws IOException, InterruptedException {
        startEndpoints();
        int count = scenario.sidecars().front();
        for (int i = 0; i < count; i++) {
            InetSocketAddress address = startSidecar(0, i, count);
            if (!scenario.clientLink().isPassThrough()) {
                Relay relay = new Relay(loop, address, scenario.clientLink(), random("client link"));
                resources.add(relay);
                address = relay.address();
            }
            clientPools.add(
                    new ClientPool(loop, address, Math.max(1, scenario.load().connections() / count)));
            clientSidecarNames.add(sidecarName(0, i));
        }
        for (int tier = 1; tier < tiers.size(); tier++) {
            startSidecarsForCalls(tier);
        }
        for (SidecarHost sidecar : sidecars.values()) {
            sidecar.awaitReady();
        }
        loop.submit(this::createClients).syncUninterruptibly();
    }

    private static String sidecarName(int tier, int number) {
        return "sidecar-" + (tier + 1) + "-" + (number + 1);
    }

    /** Returns the maximum difference in ms between the delays of two links to endpoints, faults included. */
    private double maxLinkDifferenceMs() {
        Scenario.Link link = scenario.endpointLink();
        double faultDelayMs = scenario.faults().stream()
                .mapToDouble(fault -> fault.kind() == Fault.Kind.DELAY
                        ? fault.size()
                        : fault.kind() == Fault.Kind.LOSS ? Relay.RETRANSMIT_MS : 0)
                .sum();
        return link.delayMs() + link.jitterMs() + faultDelayMs;
    }

    private <T> T callOnLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Returns a separate random source for each purpose, so that an extra draw for one does not change the others. */
    private UniformRandomProvider random(String purpose) {
        return RandomSource.XO_SHI_RO_256_PP.create(seed * 1_000_003L + purpose.hashCode());
    }

    private void startEndpoints() {
        boolean relays = FaultInjector.needRelays(scenario.faults(), scenario.endpointLink());
        for (int i = 0; i < scenario.tiers().size(); i++) {
            Scenario.Discovery discovery = scenario.discovery();
            Registry registry = new Registry(
                    scheduler,
                    random("registry " + i),
                    discovery.pushes(),
                    discovery.pollMs(),
                    discovery.minLagMs(),
                    discovery.maxLagMs());
            EndpointTier tier = new EndpointTier(scenario.tiers().get(i), i, loop, scheduler, registry, recorder);
            resources.add(tier);
            tiers.add(tier);
            tier.open(random("tier " + i), relays ? scenario.endpointLink() : null);
        }
        faultInjector = new FaultInjector(
                scheduler, tiers.stream().map(EndpointTier::faultTargets).toList(), random("faults"));
    }

    private InetSocketAddress startSidecar(int tier, int number, int count) throws IOException {
        String name = sidecarName(tier, number);
        EndpointTier endpointTier = tiers.get(tier);
        Registry.Agent registryAgent = callOnLoop(() -> endpointTier
                .registry()
                .agent(entry ->
                        recorder.recordNotification(name, entry.id(), entry.state() == Registry.State.IN_SERVICE)));
        AgentHost agent = new AgentHost(
                loop, registryAgent, endpointTier::host, endpointTier::address, System.currentTimeMillis());
        resources.add(agent);
        boolean ownProcess = scenario.sidecars().ownProcess();
        InetSocketAddress listen =
                ownProcess ? SidecarHost.freePort() : new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Path file = EdgeFiles.write(
                scenario.edgeFile(),
                folder,
                new EdgeFiles.Place(
                        name,
                        tier,
                        number,
                        count,
                        agent.address(),
                        listen,
                        random(name).nextInt(),
                        scenario.tiers().get(tier).cold()));
        Map<String, String> environment = EdgeSettings.environment(variant.overrides());
        Path log = folder.resolve(name + ".log");
        SidecarHost host = ownProcess
                ? SidecarHost.startProcess(
                        variant.jar() == null ? build.jar() : variant.jar(), file, environment, listen, log)
                : SidecarHost.startInProcess(file, environment, variant.decider(), log);
        sidecars.put(name, host);
        return host.address();
    }

    /** Starts a sidecar for each endpoint of the tier before {@code tier}, for its calls to this tier. */
    private void startSidecarsForCalls(int tier) throws IOException {
        List<EndpointHost> callers = tiers.get(tier - 1).hosts();
        for (int i = 0; i < callers.size(); i++) {
            String name = sidecarName(tier, i);
            ClientPool pool = new ClientPool(
                    loop,
                    startSidecar(tier, i, callers.size()),
                    scenario.tiers().get(tier - 1).slots());
            resources.add(pool);
            UniformRandomProvider random = random("calls of " + name);
            callers.get(i)
                    .setNextTier((parentRequest, parent, leftMs, done) ->
                            callNextTier(pool, name, random, parentRequest, parent, leftMs, done));
        }
    }

    private Runnable callNextTier(
            ClientPool pool,
            String sidecar,
            UniformRandomProvider random,
            FullHttpRequest parentRequest,
            AttemptRecorder.Attempt parent,
            double leftMs,
            Consumer<Boolean> done) {
        if (leftMs < 1) {
            scheduler.after(0, () -> done.accept(false));
            return () -> {};
        }
        String id = Long.toHexString(random.nextLong());
        FullHttpRequest request = RequestMessages.forNextTier(parentRequest, id, parent.nextCall(), leftMs);
        recorder.recordSent(id, sidecar, parent);
        double sentMs = scheduler.nowMs();
        RequestClass requestClass = settings.classes()
                .get(classNames().indexOf(parentRequest.headers().get("X-Class")));
        return pool.send(request, leftMs + ANSWER_SLACK_MS, (end, response) -> {
            responseRules.check(id, requestClass, end, response, sentMs, leftMs);
            done.accept(end == ClientRequest.End.SERVED);
        })::abandon;
    }

    private List<String> classNames() {
        return settings.classes().stream().map(RequestClass::name).toList();
    }

    private void createClients() {
        List<RequestClass> classes = settings.classes();
        List<Clients.ClassProfile> profiles = new ArrayList<>();
        List<Integer> classIndexes = new ArrayList<>();
        for (Scenario.Requests requests : scenario.requests()) {
            int index = classNames().indexOf(requests.className());
            RequestClass requestClass = classes.get(index);
            classIndexes.add(index);
            profiles.add(new Clients.ClassProfile(
                    requestClass.deadlineMs(),
                    requestClass.idempotency() != Idempotency.IDEMPOTENT,
                    requests.share(),
                    requests.workMs()));
        }
        List<Double> shares = scenario.tenants().isEmpty()
                ? List.of(1.0)
                : scenario.tenants().stream().map(Scenario.Tenant::share).toList();
        Arrivals arrivals = new Arrivals(scenario.load().rate(), scenario.load().spacing(), random("arrivals"));
        scenario.faults().stream()
                .filter(fault -> fault.kind() == Fault.Kind.BURST)
                .forEach(fault -> arrivals.addBurst(fault.beginMs(), fault.lengthMs(), fault.size()));
        UniformRandomProvider sidecarChoice = random("front");
        clients = new Clients(
                scheduler,
                new Clients.Settings(
                        profiles,
                        shares,
                        scenario.retrying(),
                        scenario.patience().minFraction(),
                        scenario.patience().maxFraction(),
                        scenario.load().exponentialWork()),
                arrivals,
                scenario.load().lengthMs(),
                random("clients"),
                (clientRequest, id, timeoutMs, reply) -> {
                    int target = sidecarChoice.nextInt(clientPools.size());
                    recorder.recordSent(id, clientSidecarNames.get(target), null);
                    double sentMs = scheduler.nowMs();
                    RequestClass requestClass = classes.get(classIndexes.get(clientRequest.requestClass()));
                    FullHttpRequest request = RequestMessages.forClient(
                            clientRequest, id, requestClass.name(), tenantName(clientRequest), timeoutMs);
                    clientPools.get(target).send(request, timeoutMs + slackMs(), (end, response) -> {
                        responseRules.check(id, requestClass, end, response, sentMs, timeoutMs);
                        reply.ended(
                                end,
                                response == null ? 0 : response.status().code(),
                                RequestMessages.retryAfterMs(response));
                    });
                });
    }

    /** Returns the name of the request's tenant, or null if the scenario has no tenants. */
    private String tenantName(ClientRequest clientRequest) {
        return scenario.tenants().isEmpty()
                ? null
                : scenario.tenants().get(clientRequest.tenant()).name();
    }

    /**
     * Returns the tolerance in ms for responses to clients. A sidecar's deadline counts from the arrival of the
     * request, so the time on the client's link in both directions is added.
     */
    private double slackMs() {
        Scenario.Link link = scenario.clientLink();
        return ANSWER_SLACK_MS
                + 2 * (link.delayMs() + link.jitterMs())
                + (link.bytesPerMs() > 0 ? MAX_MESSAGE_BYTES / link.bytesPerMs() : 0);
    }

    /**
     * Runs the scenario to its end, or until this thread is interrupted. {@code progress} is called regularly with a
     * supplier of the requests so far.
     */
    public RunResult play(Consumer<Supplier<List<ClientRequest>>> progress) {
        startCpuMs = sidecarCpuMs();
        loop.submit(() -> {
                    scheduler.start();
                    faultInjector.scheduleAll(scenario.faults());
                    clients.start();
                })
                .syncUninterruptibly();
        double maxDurationMs = scenario.load().lengthMs()
                + COMPLETION_TIMEOUT_MS
                + (1 + scenario.retrying().maxRetries()) * longestDeadlineMs();
        boolean complete = true;
        try {
            while (!callOnLoop(clients::isFinished) && scheduler.nowMs() < maxDurationMs) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                progress.accept(() -> callOnLoop(() -> List.copyOf(clients.requests())));
            }
        } catch (InterruptedException e) {
            complete = false;
            endEarly();
        }
        cpuMs = sidecarCpuMs() - startCpuMs;
        boolean ranToEnd = complete;
        return callOnLoop(() -> createResult(ranToEnd));
    }

    /** Sends no more requests and waits for the responses of those in flight. */
    private void endEarly() {
        loop.submit(clients::stop).syncUninterruptibly();
        double deadlineMs = scheduler.nowMs() + COMPLETION_TIMEOUT_MS + longestDeadlineMs();
        while (!callOnLoop(clients::isFinished) && scheduler.nowMs() < deadlineMs) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS));
        }
    }

    private double longestDeadlineMs() {
        return settings.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }

    /** Status of an endpoint of the first tier; {@code fault} names its present fault or is empty. */
    public record EndpointStatus(String id, int attempts, String fault) {}

    /** Returns the present status of the endpoints of the first tier. */
    public List<EndpointStatus> endpointStatuses() {
        return callOnLoop(() -> {
            Map<String, Integer> counts = new HashMap<>();
            recorder.attempts().stream()
                    .filter(attempt -> attempt.tier() == 0)
                    .forEach(attempt -> counts.merge(attempt.endpoint(), 1, Integer::sum));
            return tiers.get(0).hosts().stream()
                    .map(host -> new EndpointStatus(
                            host.id(),
                            counts.getOrDefault(host.id(), 0),
                            host.model().faultName()))
                    .toList();
        });
    }

    /** Returns the address of the first sidecar. */
    public InetSocketAddress address() {
        return sidecars.values().iterator().next().address();
    }

    private double sidecarCpuMs() {
        return sidecars.values().stream().mapToDouble(SidecarHost::cpuMs).sum();
    }

    private RunResult createResult(boolean complete) {
        List<String> violations = new ArrayList<>(recorder.violations());
        addRepeatedExecutions(violations);
        addOverloadedEndpoints(violations);
        addCrashedSidecars(violations);
        return new RunResult(
                scenario,
                variant,
                seed,
                settings,
                complete,
                clients.requests(),
                recorder,
                nodes(),
                violations,
                new RunResult.Lateness(
                        scheduler.lateMicros().getValueAtPercentile(99) / 1e3,
                        scheduler.lateMicros().getMaxValue() / 1e3,
                        clients.meanLateMs(),
                        clients.maxLateMs(),
                        clientPools.stream().mapToLong(ClientPool::waited).sum()),
                clientPools.stream().mapToInt(ClientPool::maxOpen).sum(),
                cpuMs);
    }

    /** Adds a violation for each request with an idempotency key that endpoints executed more than once. */
    private void addRepeatedExecutions(List<String> violations) {
        Map<String, Integer> executions = new HashMap<>();
        Map<String, ClientRequest> requestByTry = new HashMap<>();
        clients.requests()
                .forEach(clientRequest ->
                        clientRequest.tries().forEach(each -> requestByTry.put(each.id(), clientRequest)));
        for (AttemptRecorder.Attempt attempt : recorder.attempts()) {
            AttemptRecorder.Attempt root = attempt;
            while (root.parent() != null) {
                root = root.parent();
            }
            ClientRequest clientRequest = requestByTry.get(root.request());
            if (clientRequest != null
                    && clientRequest.key() != null
                    && !Double.isNaN(attempt.startedMs())
                    && executions.merge(attempt.request(), 1, Integer::sum) == 2) {
                violations.add("ran twice: " + attempt.request());
            }
        }
    }

    private void addOverloadedEndpoints(List<String> violations) {
        tiers.stream()
                .flatMap(tier -> tier.hosts().stream())
                .filter(host -> host.model().hasCollapsed())
                .forEach(host -> violations.add("pushed over while cold: " + host.id()));
    }

    private void addCrashedSidecars(List<String> violations) {
        sidecars.forEach((name, sidecar) -> {
            if (sidecar.hasCrashed()) {
                violations.add("ended by itself: " + name);
            }
        });
    }

    private List<RunResult.Node> nodes() {
        List<RunResult.Node> nodes = new ArrayList<>();
        for (int tier = 0; tier < tiers.size(); tier++) {
            for (EndpointHost host : tiers.get(tier).hosts()) {
                nodes.add(new RunResult.Node(
                        tier,
                        host.id(),
                        host.model().shape().speed(),
                        host.model().workDoneMs(),
                        host.model().maxHeld()));
            }
        }
        return nodes;
    }

    @Override
    public void close() {
        sidecars.values().forEach(SidecarHost::close);
        loop.submit(() -> {
                    for (ClientPool pool : clientPools) {
                        pool.close();
                    }
                    for (AutoCloseable resource : resources) {
                        try {
                            resource.close();
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    }
                })
                .awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
