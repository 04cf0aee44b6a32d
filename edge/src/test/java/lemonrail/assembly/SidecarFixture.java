package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import lemonrail.config.PlatformFile;
import lemonrail.core.WatchSchedule;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.core.policy.BoxcarLoadBalancer;
import lemonrail.exchange.Protocol;
import lemonrail.http1.Http1Protocol;
import lemonrail.logging.TextSink;

/** A sidecar with stub endpoints and a stub discovery service, all on loopback. */
final class SidecarFixture implements Closeable {

    private static final long TIMEOUT_MS = 20_000;
    /** Longer than the time before the sidecar reuses a connection. */
    private static final int SETTLED_MS = 20;

    final List<StubEndpoint> endpoints = new ArrayList<>();
    final StubEndpoint discovery;
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    Path configFile;
    /** What outlives the process; one of its own if none is given. */
    Path folder;

    Sidecar sidecar;
    int idleCloseMs = 15_000;
    int askWithinMs = 600_000;
    int sockets = 1024;
    int aimMs = 9000;
    /** How long a call to discovery waits for news; 0 leaves it to the fleet's size. */
    int discoveryWaitMs = WatchSchedule.MAX_WAIT_MS;

    boolean cancel = true;
    /** What a test changes of the configuration beyond the fields here. */
    UnaryOperator<String> change = config -> config;

    int graceMs = 500;
    Protocol<?, ?> protocol = new Http1Protocol();
    private int requests;

    SidecarFixture(StubEndpoint... endpoints) throws IOException {
        this.endpoints.addAll(List.of(endpoints));
        // Discovery holds its response back unless the test replaces its handler.
        discovery = new StubEndpoint((wire, request) -> wire.awaitEnd());
    }

    static String line(int number, String address, String state, long startedMs) {
        return "{\"id\":\"s" + number + "\",\"addr\":\"" + address
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,"
                + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }

    static String list(int version, boolean full, String... lines) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", lines) + "]}";
    }

    String config() {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            lines.add(line(i, endpoints.get(i).address(), "in_service", 0));
        }
        return """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
            "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
            "settings":{"azs":["a"],"models":["m"],"replicas-of-me":1,"slot-no":0,"tier":0,"zone":0,
            "membership-mode":"on_request","classes":[
            {"name":"read","effect":"repeatable","group":"all","hard-limit-ms":9000,"slo-ms":%d,"worth":1},
            {"name":"order","effect":"once","group":"all","hard-limit-ms":9000,"slo-ms":%d,"worth":1}],
            "limits":{"cancel":%b,"dial-timeout-ms":2000,"idle-close-ms":%d,"max-retry-after-ms":2000,
            "parallel-tries":true,"retry-after":false,"try-limit":3},
            "rules":{"cold-share":0.5,"cold-ms":1000,"tip-multiple":3,"fall-ms":1000,"drain-grace-ms":%d,
            "ask-within-ms":%d}}}""".formatted(
                        discovery.address(),
                        sockets,
                        list(1, true, lines.toArray(String[]::new)),
                        aimMs,
                        aimMs,
                        cancel,
                        idleCloseMs,
                        graceMs,
                        askWithinMs);
    }

    SidecarFixture start() throws IOException {
        return start(BoxcarLoadBalancer::new);
    }

    /** Starts the sidecar with another load balancer. */
    SidecarFixture start(LoadBalancerFactory loadBalancer) throws IOException {
        configFile = Files.writeString(Files.createTempFile("config", ".json"), change.apply(config()));
        folder = folder == null ? Files.createTempDirectory("sidecar") : folder;
        Map<String, String> environment = new HashMap<>(Map.of("TMPDIR", folder.toString(), "GW_MGMT", "127.0.0.1:0"));
        if (discoveryWaitMs > 0) {
            environment.put("LEMONRAIL_DISCOVERY_WAIT", discoveryWaitMs + "ms");
        }
        PlatformFile source = new PlatformFile(configFile, environment);
        sidecar = new SidecarBuilder(
                        protocol,
                        source,
                        source.load(),
                        new TextSink(new PrintStream(log, true, StandardCharsets.UTF_8)))
                .loadBalancer(loadBalancer)
                .build();
        sidecar.start();
        return this;
    }

    HttpTestConnection client() throws IOException {
        return HttpTestConnection.to(sidecar.address());
    }

    /** A request of a class, GET for one that may be repeated and else POST with a body. */
    String request(String kind, int deadlineMs) {
        String head = "X-Request-Id: r" + requests++ + "\r\nX-Class: " + kind + "\r\nX-Deadline-Ms: " + deadlineMs
                + "\r\nHost: app.svc\r\n";
        return kind.equals("read")
                ? "GET /api?q=1 HTTP/1.1\r\n" + head + "\r\n"
                : "POST /api?q=1 HTTP/1.1\r\n" + head + "Idempotency-Key: k1\r\nContent-Length: 5\r\n\r\nhello";
    }

    HttpTestConnection adminConnection() throws IOException {
        return HttpTestConnection.to(sidecar.adminAddress());
    }

    /** Sends one request to the admin API. */
    HttpTestConnection.Message callAdmin(String method, String path) throws IOException {
        try (HttpTestConnection wire = adminConnection()) {
            return wire.send(method + " " + path + " HTTP/1.1\r\nHost: n0\r\n\r\n")
                    .read();
        }
    }

    HttpTestConnection.Message ask(String kind, int deadlineMs) throws IOException {
        try (HttpTestConnection wire = client()) {
            return wire.send(request(kind, deadlineMs)).read();
        }
    }

    /** Lets the sidecar be done with an answer that has come, and its connection stand as long as it must. */
    void settle() throws InterruptedException {
        sidecar.loop().submit(() -> {}).sync();
        Thread.sleep(SETTLED_MS);
    }

    /** Returns how many requests are open in the sidecar. */
    int openRequests() {
        return sidecar.loop()
                .submit(() -> sidecar.requestAndEndpointCounts().get(0))
                .syncUninterruptibly()
                .getNow();
    }

    int attempts() {
        return endpoints.stream().mapToInt(endpoint -> endpoint.requests.size()).sum();
    }

    String logged() {
        return log.toString(StandardCharsets.UTF_8);
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(2);
        }
    }

    @Override
    public void close() throws IOException {
        if (sidecar != null) {
            sidecar.stop();
            Files.delete(configFile);
        }
        for (StubEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        discovery.close();
    }
}
