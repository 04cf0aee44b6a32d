package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import lemonrail.admin.AdminServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The admin API over HTTP: responses, rejected requests, silent clients, and the metrics. */
@Timeout(60)
class AdminServerTest {

    private static final int MANY_FIELDS = 1000;
    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private SidecarFixture start(StubEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        return fixture.start();
    }

    private Map<String, Long> metrics() throws IOException {
        Map<String, Long> metrics = new TreeMap<>();
        fixture.callAdmin("GET", "/v1/metrics").body().lines().forEach(line -> {
            assertTrue(line.startsWith("edge_gw."), line);
            int equals = line.indexOf('=');
            metrics.put(line.substring("edge_gw.".length(), equals), Long.valueOf(line.substring(equals + 1)));
        });
        return metrics;
    }

    private void awaitMetric(String name, long value) throws InterruptedException {
        SidecarFixture.await(name + " is " + value, () -> {
            try {
                return metrics().get(name) == value;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    // ---- requests ----

    @ParameterizedTest
    @CsvSource({
        "GET, /v1/readyz, 200",
        "GET, /v1/readyz?verbose=1, 200",
        "GET, /v1/metrics, 200",
        "PUT, /v1/readyz, 405",
        "POST, /v1/metrics, 405",
        "GET, /v1/sidecar/drain, 405",
        "GET, /v1/endpoints/s0/suspend, 405",
        "DELETE, /v1/sidecar/activate, 405",
        "PUT, /v1/endpoints/s0/suspend, 200",
        "PUT, /v1/endpoints/s0/resume, 200",
        "PUT, /v1/endpoints/s9/suspend, 404",
        "PUT, /v1/endpoints/s9/resume, 404",
        "PUT, /v1/endpoints/%73%30/suspend, 200",
        "PUT, /v1/endpoints/%zz/suspend, 400",
        "PUT, /v1/endpoints//suspend, 404",
        "PUT, /v1/endpoints/s0, 404",
        "PUT, /v1/endpoints/, 404",
        "PUT, /v1/endpoints/s0/x/suspend, 404",
        "PUT, /v1/endpoints/s0/restart, 404",
        "GET, /, 404",
        "GET, /health/ready, 404",
        "GET, /v1/readyz/, 404"
    })
    void respondsToEachRequest(String method, String path, int status) throws Exception {
        start(StubEndpoint.respondingWith(200, "", "served"));
        HttpTestConnection.Message response = fixture.callAdmin(method, path);
        assertEquals(status, response.status());
        assertEquals("close", response.headers().get("connection"));
        assertTrue(response.body().endsWith("\n"), response.body());
        assertTrue(status == 200 || response.body().lines().count() == 1, response.body());
        assertEquals(status == 405, response.headers().containsKey("allow"));
    }

    @ParameterizedTest
    @CsvSource({
        "what?, 400",
        "GET /v1/readyz HTTP/1.1\\r\\nContent-Length: ten, 400",
        "PUT /v1/sidecar/drain HTTP/1.1\\r\\nContent-Length: 99999, 413"
    })
    void rejectsMalformedRequests(String head, int status) throws Exception {
        start(StubEndpoint.respondingWith(200, "", "served"));
        try (HttpTestConnection connection = fixture.adminConnection()) {
            connection.send(head.replace("\\r\\n", "\r\n") + "\r\n\r\n");
            assertEquals(status, connection.read().status());
        }
        assertEquals(200, fixture.callAdmin("GET", "/v1/readyz").status(), "the admin API still responds");
    }

    // ---- silent clients ----

    /** Guards against silent clients that use up all connections: other requests still get their response at once. */
    @Test
    void silentClientsDoNotBlockOtherClients() throws Exception {
        start(StubEndpoint.respondingWith(200, "", "served"));
        List<HttpTestConnection> silent = new ArrayList<>();
        for (int i = 0; i < 3 * AdminServer.MAX_CONNECTIONS; i++) {
            silent.add(fixture.adminConnection().send(i % 2 == 0 ? "" : "GET /v1/readyz HTTP/1.1\r\nX: "));
            assertEquals(200, fixture.callAdmin("GET", "/v1/readyz").status());
        }
        silent.get(0).awaitEnd();
        assertEquals(408, silent.get(silent.size() - 1).read().status());
        for (HttpTestConnection connection : silent) {
            connection.awaitEnd();
            connection.close();
        }
    }

    // ---- metrics ----

    @Test
    void allMetricsExistFromTheStart() throws Exception {
        start(StubEndpoint.respondingWith(200, "", "served"));
        Map<String, Long> expected = new TreeMap<>();
        for (String requestClass : List.of("read", "order")) {
            for (String result : List.of("success", "overload", "error")) {
                expected.put("replies." + requestClass + "." + result, 0L);
            }
        }
        expected.putAll(Map.of(
                "dispatches",
                0L,
                "concurrent",
                0L,
                "targets",
                1L,
                "targets_disabled",
                0L,
                "reload_success",
                0L,
                "reload_failure",
                0L,
                "log_dropped",
                0L,
                "log_suppressed",
                0L));
        expected.put("answers_late", 0L);
        expected.put("memory.refused", 0L);
        expected.put("uploads_refused", 0L);
        expected.put("memory.held_kb", 0L);
        Map<String, Long> metrics = new TreeMap<>(metrics());
        // These values depend on the machine, so only their presence is checked.
        for (String name : List.of("memory.budget_kb", "memory.heap_kb", "memory.direct_kb")) {
            assertTrue(metrics.remove(name) >= 0, name);
        }
        for (String suffix : List.of("ms", "over_1ms", "over_5ms", "over_20ms", "over_100ms", "over_500ms")) {
            String name = suffix.equals("ms") ? "loop_late_ms" : "loop_late." + suffix;
            assertTrue(metrics.remove(name) >= 0, name);
        }
        assertEquals(expected, metrics);
    }

    /** Guards against heads of very many short fields, which become many times as large as objects. */
    @Test
    void headsOfManyFieldsAreRejected() throws Exception {
        start(StubEndpoint.respondingWith(200, "", "served"));
        try (HttpTestConnection connection = fixture.adminConnection()) {
            connection.send("GET /v1/metrics HTTP/1.1\r\nHost: n0\r\n" + "a:\r\n".repeat(MANY_FIELDS) + "\r\n");
            int status = connection.read().status();
            assertTrue(status >= 400 && status < 500, "status " + status);
        }
        assertEquals(200, fixture.callAdmin("GET", "/v1/metrics").status());
    }

    @Test
    void countsResponsesAndAttemptsWhenTheyEnd() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((connection, request) -> {
            release.await();
            StubEndpoint.respond(connection, request.startLine().startsWith("GET") ? 200 : 500, "", "x");
        }));
        try (HttpTestConnection read = fixture.client();
                HttpTestConnection order = fixture.client()) {
            read.send(fixture.request("read", DEADLINE_MS));
            order.send(fixture.request("order", DEADLINE_MS));
            awaitMetric("dispatches", 2);
            assertEquals(2, metrics().get("concurrent"));
            assertEquals(0, metrics().get("replies.read.success"));
            release.countDown();
            assertEquals(200, read.read().status());
            assertEquals(502, order.read().status());
        }
        awaitMetric("concurrent", 0);
        assertEquals(1, metrics().get("replies.read.success"));
        assertEquals(1, metrics().get("replies.order.error"));
        assertEquals(2, metrics().get("dispatches"));
    }

    @Test
    void countsRejectedRequestAsOverload() throws Exception {
        start();
        assertEquals(503, fixture.sendRequest("read", DEADLINE_MS).status());
        awaitMetric("replies.read.overload", 1);
        assertEquals(0, metrics().get("concurrent"));
    }

    @Test
    void requestOfDisconnectedClientIsNotConcurrent() throws Exception {
        start(new StubEndpoint((connection, request) -> connection.awaitEnd()));
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS));
            awaitMetric("concurrent", 1);
        }
        awaitMetric("concurrent", 0);
    }
}
