package lemonrail.lab.host;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lemonrail.core.Contract.Effect;
import lemonrail.core.Contract.RequestClass;
import lemonrail.core.Contract.Settings;
import lemonrail.lab.model.Arrivals;
import lemonrail.lab.model.Ask;
import lemonrail.lab.model.Clients;
import lemonrail.lab.model.Endpoint;
import lemonrail.lab.model.EndpointShape;
import lemonrail.lab.model.Fault;
import lemonrail.lab.model.Rack;
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
    public record Builds(Path jar) {
    }

    private static final class Row {
        private final List<EndpointHost> hosts = new ArrayList<>();
        private final Map<String, EndpointHost> byId = new HashMap<>();
        private final Map<EndpointHost, Relay> links = new HashMap<>();
        private Registry registry;
    }

    private final Scenario scenario;
    private final Scenario.Variant variant;
    private final long seed;
    private final Builds builds;
    private final Path folder;
    private final Settings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
        new DefaultThreadFactory("testbed", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final LoopAgenda agenda = new LoopAgenda(loop);
    private final AttemptRecorder recorder;
    private final List<Row> rows = new ArrayList<>();
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
        settings = EdgeSettings.load(scenario.edge(), variant.set());
        recorder = new AttemptRecorder(agenda, settings.rules().drainGraceMs(), linkMs());
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
            if (!scenario.clientLink().isPlain()) {
                Relay relay = new Relay(loop, at, scenario.clientLink(), random("client link"));
                parts.add(relay);
                at = relay.address();
            }
            pools.add(new ClientPool(loop, at, Math.max(1, scenario.load().connections() / front)));
            names.add(name(0, i));
        }
        for (int tier = 1; tier < rows.size(); tier++) {
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
        double worse = scenario.faults().stream().mapToDouble(fault ->
            fault.kind() == Fault.Kind.DELAY ? fault.size()
                : fault.kind() == Fault.Kind.LOSS ? Relay.REPEAT_MS : 0).sum();
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
            Scenario.Tier tier = scenario.tiers().get(i);
            UniformRandomProvider random = random("tier " + i);
            Row row = new Row();
            Scenario.Discovery how = scenario.discovery();
            row.registry = new Registry(agenda, random("registry " + i), how.pushes(), how.pollMs(),
                how.leastLagMs(), how.mostLagMs());
            List<Rack> racks = new ArrayList<>();
            for (int r = 0; r < tier.racks(); r++) {
                racks.add(new Rack(agenda, tier.rackWindowMs()));
            }
            for (int n = 0; n < tier.count(); n++) {
                double speed = tier.leastSpeed()
                    + (tier.mostSpeed() - tier.leastSpeed()) * random.nextDouble();
                EndpointShape shape = new EndpointShape(tier.name() + "-" + (n + 1), n % tier.racks(),
                    tier.cores(), speed, tier.slots(), tier.waitingRoom(), tier.connections(),
                    tier.handshakeMs(), tier.cold(), tier.crowding());
                Endpoint model = new Endpoint(agenda, shape, racks.get(n % tier.racks()));
                if (tier.startsCold()) {
                    model.start();
                }
                double calls = tier.calls();
                EndpointHost host = new EndpointHost(loop, agenda, model, i, tier.workShare(),
                    () -> (int) calls + (random.nextDouble() < calls - (int) calls ? 1 : 0), recorder);
                row.hosts.add(host);
                row.byId.put(host.id(), host);
                parts.add(host);
                if (relays) {
                    Relay relay = new Relay(loop, host.address(), scenario.endpointLink(), random);
                    row.links.put(host, relay);
                    parts.add(relay);
                }
                row.registry.set(new Registry.Line(host.id(), Registry.State.IN_SERVICE, model.startedMs()));
            }
            rows.add(row);
        }
        faults = new FaultPlayer(agenda, rows.stream().map(row ->
            new FaultPlayer.Tier(row.hosts, row.links::get, row.registry)).toList(), random("faults"));
    }

    private InetSocketAddress sidecar(int tier, int number, int count) throws IOException {
        String name = name(tier, number);
        Row row = rows.get(tier);
        Registry.Agent source = on(() -> row.registry.agent(line ->
            recorder.told(name, line.id(), line.state() == Registry.State.IN_SERVICE)));
        AgentHost agent = new AgentHost(loop, source, row.byId::get,
            id -> row.links.containsKey(row.byId.get(id)) ? row.links.get(row.byId.get(id)).address()
                : row.byId.get(id).address(), System.currentTimeMillis());
        parts.add(agent);
        boolean process = scenario.sidecars().ownProcess();
        InetSocketAddress listen = process ? SidecarHost.freePort()
            : new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Path file = EdgeFiles.write(scenario.edge(), folder, new EdgeFiles.Place(name, tier, number, count,
            agent.address(), listen, random(name).nextInt(), scenario.tiers().get(tier).cold()));
        Map<String, String> environment = EdgeSettings.environment(variant.set());
        Path log = folder.resolve(name + ".log");
        SidecarHost host = process
            ? SidecarHost.process(variant.jar() == null ? builds.jar() : variant.jar(), file, environment,
                listen, log)
            : SidecarHost.inside(file, environment, variant.decider(), log);
        sidecars.put(name, host);
        return host.address();
    }

    /** Gives each endpoint of the tier above a sidecar of its own for its calls. */
    private void chain(int tier) throws IOException {
        List<EndpointHost> above = rows.get(tier - 1).hosts;
        for (int i = 0; i < above.size(); i++) {
            String name = name(tier, i);
            ClientPool pool = new ClientPool(loop, sidecar(tier, i, above.size()),
                scenario.tiers().get(tier - 1).slots());
            parts.add(pool);
            UniformRandomProvider random = random("calls of " + name);
            above.get(i).next((of, onBehalfOf, leftMs, done) -> call(pool, name, random, of, onBehalfOf,
                leftMs, done));
        }
    }

    private Runnable call(ClientPool pool, String sidecar, UniformRandomProvider random, FullHttpRequest of,
            AttemptRecorder.Attempt onBehalfOf, double leftMs, Consumer<Boolean> done) {
        if (leftMs < 1) {
            agenda.after(0, () -> done.accept(false));
            return () -> { };
        }
        String id = Long.toHexString(random.nextLong());
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, of.method(), of.uri(),
            Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, "lab").set("X-Request-Id", id)
            .set("X-Deadline-Ms", (long) leftMs).set(HttpHeaderNames.CONTENT_LENGTH, 0);
        for (String kept : List.of("X-Class", "X-Tenant")) {
            if (of.headers().contains(kept)) {
                request.headers().set(kept, of.headers().get(kept));
            }
        }
        String key = of.headers().get("Idempotency-Key");
        int number = onBehalfOf.nextCall();
        if (key != null) {
            // The calls of one request are things of their own; the same call of its repeat is not.
            request.headers().set("Idempotency-Key", key + "." + number);
        }
        recorder.sent(id, sidecar, onBehalfOf);
        double sentMs = agenda.nowMs();
        RequestClass kind = settings.classes().get(classNames().indexOf(of.headers().get("X-Class")));
        return pool.send(request, leftMs + ANSWER_SLACK_MS, (end, answer) -> {
            checkAnswer(id, kind, end, answer, sentMs, leftMs);
            done.accept(end == Ask.End.SERVED);
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
            kinds.add(new Clients.Kind(kind.deadlineMs(), kind.effect() != Effect.REPEATABLE,
                requests.share(), requests.workMs()));
        }
        List<Double> shares = scenario.tenants().isEmpty() ? List.of(1.0)
            : scenario.tenants().stream().map(Scenario.Tenant::share).toList();
        Arrivals arrivals = new Arrivals(scenario.load().rate(), scenario.load().spacing(),
            random("arrivals"));
        scenario.faults().stream().filter(fault -> fault.kind() == Fault.Kind.BURST)
            .forEach(fault -> arrivals.burst(fault.beginMs(), fault.lengthMs(), fault.size()));
        UniformRandomProvider dealt = random("front");
        clients = new Clients(agenda, new Clients.Shape(kinds, shares, scenario.retrying(),
            scenario.patience().least(), scenario.patience().most(), scenario.load().exponentialWork()),
            arrivals, scenario.load().lengthMs(), random("clients"), (ask, id, patienceMs, reply) -> {
                int to = dealt.nextInt(pools.size());
                recorder.sent(id, names.get(to), null);
                double sentMs = agenda.nowMs();
                RequestClass kind = classes.get(places.get(ask.requestClass()));
                pools.get(to).send(request(ask, id, kind, patienceMs), patienceMs + slackMs(),
                    (end, answer) -> {
                        checkAnswer(id, kind, end, answer, sentMs, patienceMs);
                        reply.ended(end, answer == null ? 0 : answer.status().code(), retryAfterMs(answer));
                    });
            });
    }

    /** A sidecar counts from when a request has come: the way there and back is not its own doing. */
    private double slackMs() {
        Scenario.Link link = scenario.clientLink();
        return ANSWER_SLACK_MS + 2 * (link.delayMs() + link.jitterMs())
            + (link.bytesPerMs() > 0 ? MESSAGE_BYTES / link.bytesPerMs() : 0);
    }

    private FullHttpRequest request(Ask ask, String id, RequestClass kind, double patienceMs) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
            ask.key() == null ? HttpMethod.GET : HttpMethod.POST,
            String.format(Locale.ROOT, "/api?work=%.3f", ask.workMs()), Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, "lab").set("X-Request-Id", id)
            .set("X-Class", kind.name()).set("X-Deadline-Ms", (long) patienceMs)
            .set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (ask.key() != null) {
            request.headers().set("Idempotency-Key", ask.key());
        }
        if (!scenario.tenants().isEmpty()) {
            request.headers().set("X-Tenant", scenario.tenants().get(ask.tenant()).name());
        }
        return request;
    }

    private static double retryAfterMs(FullHttpResponse answer) {
        String text = answer == null ? null : answer.headers().get("Retry-After");
        try {
            return text == null ? Double.NaN : Double.parseDouble(text) * 1000;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** One final answer, made by an endpoint where it serves, and no refusal of what may have run. */
    private void checkAnswer(String id, RequestClass kind, Ask.End end, FullHttpResponse answer,
            double sentMs, double waitMs) {
        List<AttemptRecorder.Attempt> attempts = recorder.of(id);
        if (end == Ask.End.GIVEN_UP) {
            recorder.broken("no answer within " + Math.round(agenda.nowMs() - sentMs) + " of "
                + Math.round(waitMs) + " ms: " + id);
        } else if (end == Ask.End.LOST && scenario.clientLink().isPlain()) {
            recorder.broken("the connection ended without a whole answer: " + id);
        } else if (end == Ask.End.SERVED) {
            String body = answer.content().toString(StandardCharsets.UTF_8);
            if (attempts.stream().noneMatch(attempt -> body.equals(attempt.endpoint() + " " + id))) {
                recorder.broken("served with what no endpoint made for it: " + id);
            }
        }
        if (end == Ask.End.REFUSED && !kind.refusableAfterRun()
                && attempts.stream().anyMatch(attempt -> !Double.isNaN(attempt.ranMs()))) {
            recorder.broken("refused after it may have run: " + id);
        }
        if (attempts.size() > settings.limits().tries()) {
            recorder.broken(attempts.size() + " attempts: " + id);
        }
    }

    /** Plays to the end, or until this thread is interrupted; {@code each} may look at what was asked. */
    public Played play(Consumer<Supplier<List<Ask>>> each) {
        cpuBeganMs = cpu();
        loop.submit(() -> {
            agenda.begin();
            faults.play(scenario.faults());
            clients.start();
        }).syncUninterruptibly();
        double mostMs = scenario.load().lengthMs() + END_SLACK_MS
            + (1 + scenario.retrying().most()) * longestMs();
        boolean whole = true;
        try {
            while (!on(clients::isOver) && agenda.nowMs() < mostMs) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                each.accept(() -> on(() -> List.copyOf(clients.asks())));
            }
        } catch (InterruptedException e) {
            whole = false;
            endEarly();
        }
        cpuMs = cpu() - cpuBeganMs;
        boolean ended = whole;
        return on(() -> played(ended));
    }

    /** What is under way still has its answers. */
    private void endEarly() {
        loop.submit(clients::stop).syncUninterruptibly();
        double untilMs = agenda.nowMs() + END_SLACK_MS + longestMs();
        while (!on(clients::isOver) && agenda.nowMs() < untilMs) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LOOK_MS));
        }
    }

    private double longestMs() {
        return settings.classes().stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
    }

    /** How it stands: an endpoint of the first tier, what it was sent and what is wrong with it. */
    public record Standing(String id, int attempts, String trouble) {
    }

    /** How the endpoints of the first tier stand now. */
    public List<Standing> standings() {
        return on(() -> {
            Map<String, Integer> counts = new HashMap<>();
            recorder.attempts().stream().filter(attempt -> attempt.tier() == 0)
                .forEach(attempt -> counts.merge(attempt.endpoint(), 1, Integer::sum));
            return rows.get(0).hosts.stream().map(host -> new Standing(host.id(),
                counts.getOrDefault(host.id(), 0), host.model().trouble())).toList();
        });
    }

    /** Where clients connect, at the first sidecar. */
    public InetSocketAddress address() {
        return sidecars.values().iterator().next().address();
    }

    private double cpu() {
        return sidecars.values().stream().mapToDouble(SidecarHost::cpuMs).sum();
    }

    private Played played(boolean whole) {
        List<String> broken = new ArrayList<>(recorder.broken());
        Map<String, Integer> ran = new HashMap<>();
        Map<String, Ask> byTry = new HashMap<>();
        clients.asks().forEach(ask -> ask.tries().forEach(each -> byTry.put(each.id(), ask)));
        for (AttemptRecorder.Attempt attempt : recorder.attempts()) {
            AttemptRecorder.Attempt root = attempt;
            while (root.parent() != null) {
                root = root.parent();
            }
            Ask ask = byTry.get(root.request());
            if (ask != null && ask.key() != null && !Double.isNaN(attempt.ranMs())
                    && ran.merge(attempt.request(), 1, Integer::sum) == 2) {
                broken.add("ran twice: " + attempt.request());
            }
        }
        List<Played.Node> nodes = new ArrayList<>();
        for (int tier = 0; tier < rows.size(); tier++) {
            for (EndpointHost host : rows.get(tier).hosts) {
                nodes.add(new Played.Node(tier, host.id(), host.model().shape().speed(),
                    host.model().doneMs(), host.model().mostHeld()));
                if (host.model().hasFallen()) {
                    broken.add("pushed over while cold: " + host.id());
                }
            }
        }
        sidecars.forEach((name, sidecar) -> {
            if (sidecar.hasCrashed()) {
                broken.add("ended by itself: " + name);
            }
        });
        return new Played(scenario, variant, seed, settings, whole, clients.asks(), recorder, nodes, broken,
            new Played.Lateness(agenda.lateMicros().getValueAtPercentile(99) / 1e3,
                agenda.lateMicros().getMaxValue() / 1e3, clients.meanLateMs(), clients.mostLateMs(),
                pools.stream().mapToLong(ClientPool::waited).sum()),
            pools.stream().mapToInt(ClientPool::mostOpen).sum(), cpuMs);
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
        }).awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
