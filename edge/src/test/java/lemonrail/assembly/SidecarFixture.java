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
    /** Longer than a connection to an endpoint must have been idle before the sidecar reuses it. */
    private static final int REUSE_WAIT_MS = 20;

    final List<StubEndpoint> endpoints = new ArrayList<>();
    final StubEndpoint discovery;
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    Path configFile;
    /** The state directory, which outlives the sidecar. If null, {@link #start()} creates one. */
    Path stateDirectory;

    Sidecar sidecar;
    int idleCloseMs = 15_000;
    int pollIntervalMs = 600_000;
    int sockets = 1024;
    int latencyObjectiveMs = 9000;
    /** The long-poll wait of a discovery request, in milliseconds. If 0, the size of the fleet determines it. */
    int discoveryWaitMs = WatchSchedule.MAX_WAIT_MS;

    boolean cancel = true;
    /** Applied to the configuration's JSON, for changes beyond the fields of this class. */
    UnaryOperator<String> configChange = config -> config;

    int drainGraceMs = 500;
    Protocol<?, ?> protocol = new Http1Protocol();
    private int requestCount;

    SidecarFixture(StubEndpoint... endpoints) throws IOException {
        this.endpoints.addAll(List.of(endpoints));
        // Discovery does not respond unless the test replaces its handler.
        discovery = new StubEndpoint((connection, request) -> connection.awaitEnd());
    }

    /** Returns the JSON of an endpoint in an endpoint list. */
    static String endpointJson(int number, String address, String state, long startedMs) {
        return "{\"id\":\"s" + number + "\",\"addr\":\"" + address
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,"
                + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }

    /** Returns the JSON of a full snapshot or of a delta with these endpoints. */
    static String endpointListJson(int version, boolean full, String... endpoints) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", endpoints) + "]}";
    }

    String config() {
        List<String> endpointsJson = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            endpointsJson.add(endpointJson(i, endpoints.get(i).address(), "in_service", 0));
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
                        endpointListJson(1, true, endpointsJson.toArray(String[]::new)),
                        latencyObjectiveMs,
                        latencyObjectiveMs,
                        cancel,
                        idleCloseMs,
                        drainGraceMs,
                        pollIntervalMs);
    }

    SidecarFixture start() throws IOException {
        return start(BoxcarLoadBalancer::new);
    }

    /** Starts the sidecar with the given load balancer. */
    SidecarFixture start(LoadBalancerFactory loadBalancer) throws IOException {
        configFile = Files.writeString(Files.createTempFile("config", ".json"), configChange.apply(config()));
        stateDirectory = stateDirectory == null ? Files.createTempDirectory("sidecar") : stateDirectory;
        Map<String, String> environment =
                new HashMap<>(Map.of("TMPDIR", stateDirectory.toString(), "GW_MGMT", "127.0.0.1:0"));
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

    /** Returns a new request of the given class: GET for class "read", else POST with a body. */
    String request(String requestClass, int deadlineMs) {
        String head = "X-Request-Id: r" + requestCount++ + "\r\nX-Class: " + requestClass + "\r\nX-Deadline-Ms: "
                + deadlineMs + "\r\nHost: app.svc\r\n";
        return requestClass.equals("read")
                ? "GET /api?q=1 HTTP/1.1\r\n" + head + "\r\n"
                : "POST /api?q=1 HTTP/1.1\r\n" + head + "Idempotency-Key: k1\r\nContent-Length: 5\r\n\r\nhello";
    }

    /** Returns the head of a new request of class "order" with a body of the given size, which the caller sends. */
    String uploadHead(int deadlineMs, int bodyBytes) {
        return request("order", deadlineMs).split("Content-Length")[0] + "Content-Length: " + bodyBytes + "\r\n\r\n";
    }

    HttpTestConnection adminConnection() throws IOException {
        return HttpTestConnection.to(sidecar.adminAddress());
    }

    /** Sends one request to the admin API. */
    HttpTestConnection.Message callAdmin(String method, String path) throws IOException {
        try (HttpTestConnection connection = adminConnection()) {
            return connection
                    .send(method + " " + path + " HTTP/1.1\r\nHost: n0\r\n\r\n")
                    .read();
        }
    }

    /** Sends a new request on a new connection and returns the final response. */
    HttpTestConnection.Message sendRequest(String requestClass, int deadlineMs) throws IOException {
        try (HttpTestConnection connection = client()) {
            return connection.send(request(requestClass, deadlineMs)).read();
        }
    }

    /** Waits until the event loop has run the tasks queued so far and idle connections to endpoints can be reused. */
    void awaitReusableConnections() throws InterruptedException {
        sidecar.loop().submit(() -> {}).sync();
        Thread.sleep(REUSE_WAIT_MS);
    }

    /** Returns the number of requests in the load balancer that are not finished yet. */
    int openRequests() {
        return sidecar.loop()
                .submit(() -> sidecar.requestAndEndpointCounts().get(0))
                .syncUninterruptibly()
                .getNow();
    }

    /** Returns the number of requests that the endpoints have received. */
    int attempts() {
        return endpoints.stream().mapToInt(endpoint -> endpoint.requests.size()).sum();
    }

    /** Returns the log written so far. */
    String logged() {
        return log.toString(StandardCharsets.UTF_8);
    }

    /** Waits until the condition is true; fails with its description after 20 s. */
    static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, description);
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
