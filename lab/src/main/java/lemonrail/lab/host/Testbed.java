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
 * A scenario on loopback sockets: endpoints and discovery as models, a real sidecar before each caller of a
 * tier, clients in an open loop. All models live on one event loop.
 */
public final class Testbed implements AutoCloseable {

    /** A sidecar may answer by so much later than its client gives up, before a rule is broken. */
    static final double ANSWER_SLACK_MS = 50;

    private static final int LOOK_MS = 100;
    /** A request and its answer together are not larger than this. */
    private static final double MESSAGE_BYTES = 1024;
    /** How long the last answers are waited for, beyond the longest deadline. */
    private static final double END_SLACK_MS = 1500;

    /** Builds of the edge that sidecars of their own processes run. */
    public record Builds(Path jar) {}

    private final Scenario scenario;
    private final Scenario.Variant variant;
    private final long seed;
    private final Builds builds;
    private final Path folder;
    private final BalancerSettings settings;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("testbed", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final EventLoopScheduler scheduler = new EventLoopScheduler(loop);
    private final AttemptRecorder recorder;
    private final AnswerRules answers;
    private final List<EndpointTier> tiers = new ArrayList<>();
    private final Map<String, SidecarHost> sidecars = new LinkedHashMap<>();
    private final List<AutoCloseable> parts = new ArrayList<>();
    private final List<ClientPool> pools = new ArrayList<>();
    private final List<String> names = new ArrayList<>();
    private Clients clients;
    private FaultPlayer faults;
    private double cpuBeganMs;
    private double cpuMs;

    /** Sets a testbed up and starts its sidecars; {@code folder} keeps their files and logs. */
    public Testbed(Scenario scenario, Scenario.Variant variant, long seed, Builds builds, Path folder)
            throws IOException, InterruptedException {
        this.scenario = scenario;
        this.variant = variant;
        this.seed = seed;
        this.builds = builds;
        this.folder = Files.createDirectories(folder);
        settings = EdgeSettings.load(scenario.edgeFile(), variant.overrides());
        recorder = new AttemptRecorder(scheduler, settings.drain().graceMs(), linkMs());
        answers = new AnswerRules(
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
        endpoints();
        int front = scenario.sidecars().front();
        for (int i = 0; i < front; i++) {
            InetSocketAddress at = sidecar(0, i, front);
            if (!scenario.clientLink().isPassThrough()) {
                Relay relay = new Relay(loop, at, scenario.clientLink(), random("client link"));
                parts.add(relay);
                at = relay.address();
            }
            pools.add(new ClientPool(loop, at, Math.max(1, scenario.load().connections() / front)));
            names.add(name(0, i));
        }
        for (int tier = 1; tier < tiers.size(); tier++) {
            chain(tier);
        }
        for (SidecarHost sidecar : sidecars.values()) {
            sidecar.awaitReady();
        }
        loop.submit(this::load).syncUninterruptibly();
    }

    private static String name(int tier, int number) {
        return "sidecar-" + (tier + 1) + "-" + (number + 1);
    }

    /** By how much one link to an endpoint may be slower than another. */
    private double linkMs() {
        Scenario.Link link = scenario.endpointLink();
        double worse = scenario.faults().stream()
                .mapToDouble(fault -> fault.kind() == Fault.Kind.DELAY
                        ? fault.size()
                        : fault.kind() == Fault.Kind.LOSS ? Relay.REPEAT_MS : 0)
                .sum();
        return link.delayMs() + link.jitterMs() + worse;
    }

    private <T> T on(Callable<T> what) {
        return loop.submit(what).syncUninterruptibly().getNow();
    }

    /** A random source of its own for each purpose, so that one more draw here changes nothing there. */
    private UniformRandomProvider random(String purpose) {
        return RandomSource.XO_SHI_RO_256_PP.create(seed * 1_000_003L + purpose.hashCode());
    }

    private void endpoints() {
        boolean relays = FaultPlayer.needLinks(scenario.faults(), scenario.endpointLink());
        for (int i = 0; i < scenario.tiers().size(); i++) {
            Scenario.Discovery how = scenario.discovery();
            Registry registry = new Registry(
                    scheduler, random("registry " + i), how.pushes(), how.pollMs(), how.minLagMs(), how.maxLagMs());
            EndpointTier tier = new EndpointTier(scenario.tiers().get(i), i, loop, scheduler, registry, recorder);
            parts.add(tier);
            tiers.add(tier);
            tier.open(random("tier " + i), relays ? scenario.endpointLink() : null);
        }
        faults = new FaultPlayer(
                scheduler, tiers.stream().map(EndpointTier::forFaults).toList(), random("faults"));
    }

    private InetSocketAddress sidecar(int tier, int number, int count) throws IOException {
        String name = name(tier, number);
        EndpointTier endpoints = tiers.get(tier);
        Registry.Agent source = on(() -> endpoints
                .registry()
                .agent(line -> recorder.told(name, line.id(), line.state() == Registry.State.IN_SERVICE)));
        AgentHost agent = new AgentHost(loop, source, endpoints::host, endpoints::address, System.currentTimeMillis());
        parts.add(agent);
        boolean process = scenario.sidecars().ownProcess();
        InetSocketAddress listen =
                process ? SidecarHost.freePort() : new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
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
        SidecarHost host = process
                ? SidecarHost.process(
                        variant.jar() == null ? builds.jar() : variant.jar(), file, environment, listen, log)
                : SidecarHost.inside(file, environment, variant.decider(), log);
        sidecars.put(name, host);
        return host.address();
    }

    /** Gives each endpoint of the tier above a sidecar of its own for its calls. */
    private void chain(int tier) throws IOException {
        List<EndpointHost> above = tiers.get(tier - 1).hosts();
        for (int i = 0; i < above.size(); i++) {
            String name = name(tier, i);
            ClientPool pool = new ClientPool(
                    loop,
                    sidecar(tier, i, above.size()),
                    scenario.tiers().get(tier - 1).slots());
            parts.add(pool);
            UniformRandomProvider random = random("calls of " + name);
            above.get(i).next((of, onBehalfOf, leftMs, done) -> call(pool, name, random, of, onBehalfOf, leftMs, done));
        }
    }

    private Runnable call(
            ClientPool pool,
            String sidecar,
            UniformRandomProvider random,
            FullHttpRequest of,
            AttemptRecorder.Attempt onBehalfOf,
            double leftMs,
            Consumer<Boolean> done) {
        if (leftMs < 1) {
            scheduler.after(0, () -> done.accept(false));
            return () -> {};
        }
        String id = Long.toHexString(random.nextLong());
        FullHttpRequest request = RequestMessages.onBehalfOf(of, id, onBehalfOf.nextCall(), leftMs);
        recorder.sent(id, sidecar, onBehalfOf);
        double sentMs = scheduler.nowMs();
        RequestClass kind =
                settings.classes().get(classNames().indexOf(of.headers().get("X-Class")));
        return pool.send(request, leftMs + ANSWER_SLACK_MS, (end, answer) -> {
            answers.check(id, kind, end, answer, sentMs, leftMs);
            done.accept(end == ClientRequest.End.SERVED);
        })::abandon;
    }

    private List<String> classNames() {
        return settings.classes().stream().map(RequestClass::name).toList();
    }

    private void load() {
        List<RequestClass> classes = settings.classes();
        List<Clients.Kind> kinds = new ArrayList<>();
        List<Integer> places = new ArrayList<>();
        for (Scenario.Requests requests : scenario.requests()) {
            int place = classNames().indexOf(requests.className());
            RequestClass kind = classes.get(place);
            places.add(place);
            kinds.add(new Clients.Kind(
                    kind.deadlineMs(),
                    kind.idempotency() != Idempotency.IDEMPOTENT,
                    requests.share(),
                    requests.workMs()));
        }
        List<Double> shares = scenario.tenants().isEmpty()
                ? List.of(1.0)
                : scenario.tenants().stream().map(Scenario.Tenant::share).toList();
        Arrivals arrivals = new Arrivals(scenario.load().rate(), scenario.load().spacing(), random("arrivals"));
        scenario.faults().stream()
                .filter(fault -> fault.kind() == Fault.Kind.BURST)
                .forEach(fault -> arrivals.burst(fault.beginMs(), fault.lengthMs(), fault.size()));
        UniformRandomProvider dealt = random("front");
        clients = new Clients(
                scheduler,
                new Clients.Shape(
                        kinds,
                        shares,
                        scenario.retrying(),
                        scenario.patience().minFraction(),
                        scenario.patience().maxFraction(),
                        scenario.load().exponentialWork()),
                arrivals,
                scenario.load().lengthMs(),
                random("clients"),
                (clientRequest, id, patienceMs, reply) -> {
                    int to = dealt.nextInt(pools.size());
                    recorder.sent(id, names.get(to), null);
                    double sentMs = scheduler.nowMs();
                    RequestClass kind = classes.get(places.get(clientRequest.requestClass()));
                    FullHttpRequest request =
                            RequestMessages.of(clientRequest, id, kind.name(), tenantName(clientRequest), patienceMs);
                    pools.get(to).send(request, patienceMs + slackMs(), (end, answer) -> {
                        answers.check(id, kind, end, answer, sentMs, patienceMs);
                        reply.ended(
                                end, answer == null ? 0 : answer.status().code(), RequestMessages.retryAfterMs(answer));
                    });
                });
    }

    /** The tenant's name, or null where the scenario has no tenants. */
    private String tenantName(ClientRequest clientRequest) {
        return scenario.tenants().isEmpty()
                ? null
                : scenario.tenants().get(clientRequest.tenant()).name();
    }

    /** A sidecar counts from when a request has come: the way there and back is not its own doing. */
    private double slackMs() {
        Scenario.Link link = scenario.clientLink();
        return ANSWER_SLACK_MS
                + 2 * (link.delayMs() + link.jitterMs())
                + (link.bytesPerMs() > 0 ? MESSAGE_BYTES / link.bytesPerMs() : 0);
    }

    /** Plays to the end, or until this thread is interrupted; {@code each} may look at what was asked. */
    public RunResult play(Consumer<Supplier<List<ClientRequest>>> each) {
        cpuBeganMs = cpu();
        loop.submit(() -> {
                    scheduler.begin();
                    faults.play(scenario.faults());
                    clients.start();
                })
                .syncUninterruptibly();
        double mostMs = scenario.load().lengthMs()
                + END_SLACK_MS
                + (1 + scenario.retrying().most()) * longestMs();
        boolean whole = true;
        try {
            while (!on(clients::isOver) && scheduler.nowMs() < mostMs) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                each.accept(() -> on(() -> List.copyOf(clients.requests())));
            }
        } catch (InterruptedException e) {
            whole = false;
            endEarly();
        }
        cpuMs = cpu() - cpuBeganMs;
        boolean ended = whole;
        return on(() -> run(ended));
    }

    /** What is under way still has its answers. */
    private void endEarly() {
        loop.submit(clients::stop).syncUninterruptibly();
        double untilMs = scheduler.nowMs() + END_SLACK_MS + longestMs();
        while (!on(clients::isOver) && scheduler.nowMs() < untilMs) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LOOK_MS));
        }
    }

    private double longestMs() {
        return settings.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }

    /** How it stands: an endpoint of the first tier, what it was sent and what is wrong with it. */
    public record Standing(String id, int attempts, String trouble) {}

    /** How the endpoints of the first tier stand now. */
    public List<Standing> standings() {
        return on(() -> {
            Map<String, Integer> counts = new HashMap<>();
            recorder.attempts().stream()
                    .filter(attempt -> attempt.tier() == 0)
                    .forEach(attempt -> counts.merge(attempt.endpoint(), 1, Integer::sum));
            return tiers.get(0).hosts().stream()
                    .map(host -> new Standing(
                            host.id(),
                            counts.getOrDefault(host.id(), 0),
                            host.model().trouble()))
                    .toList();
        });
    }

    /** Where clients connect, at the first sidecar. */
    public InetSocketAddress address() {
        return sidecars.values().iterator().next().address();
    }

    private double cpu() {
        return sidecars.values().stream().mapToDouble(SidecarHost::cpuMs).sum();
    }

    private RunResult run(boolean whole) {
        List<String> broken = new ArrayList<>(recorder.broken());
        ranTwice(broken);
        pushedOver(broken);
        crashed(broken);
        return new RunResult(
                scenario,
                variant,
                seed,
                settings,
                whole,
                clients.requests(),
                recorder,
                nodes(),
                broken,
                new RunResult.Lateness(
                        scheduler.lateMicros().getValueAtPercentile(99) / 1e3,
                        scheduler.lateMicros().getMaxValue() / 1e3,
                        clients.meanLateMs(),
                        clients.mostLateMs(),
                        pools.stream().mapToLong(ClientPool::waited).sum()),
                pools.stream().mapToInt(ClientPool::mostOpen).sum(),
                cpuMs);
    }

    /** Adds the requests with a key that endpoints ran more than once. */
    private void ranTwice(List<String> broken) {
        Map<String, Integer> ran = new HashMap<>();
        Map<String, ClientRequest> byTry = new HashMap<>();
        clients.requests()
                .forEach(clientRequest -> clientRequest.tries().forEach(each -> byTry.put(each.id(), clientRequest)));
        for (AttemptRecorder.Attempt attempt : recorder.attempts()) {
            AttemptRecorder.Attempt root = attempt;
            while (root.parent() != null) {
                root = root.parent();
            }
            ClientRequest clientRequest = byTry.get(root.request());
            if (clientRequest != null
                    && clientRequest.key() != null
                    && !Double.isNaN(attempt.ranMs())
                    && ran.merge(attempt.request(), 1, Integer::sum) == 2) {
                broken.add("ran twice: " + attempt.request());
            }
        }
    }

    private void pushedOver(List<String> broken) {
        tiers.stream()
                .flatMap(tier -> tier.hosts().stream())
                .filter(host -> host.model().hasFallen())
                .forEach(host -> broken.add("pushed over while cold: " + host.id()));
    }

    private void crashed(List<String> broken) {
        sidecars.forEach((name, sidecar) -> {
            if (sidecar.hasCrashed()) {
                broken.add("ended by itself: " + name);
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
                        host.model().doneMs(),
                        host.model().mostHeld()));
            }
        }
        return nodes;
    }

    @Override
    public void close() {
        sidecars.values().forEach(SidecarHost::close);
        loop.submit(() -> {
                    for (ClientPool pool : pools) {
                        pool.close();
                    }
                    for (AutoCloseable part : parts) {
                        try {
                            part.close();
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    }
                })
                .awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
