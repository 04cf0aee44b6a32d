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

/** The admin API: what it answers, what it refuses, and whom it does not let stand in the way. */
@Timeout(60)
class AdminServerTest {

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

    private Map<String, Long> figures() throws IOException {
        Map<String, Long> figures = new TreeMap<>();
        fixture.callAdmin("GET", "/v1/metrics").body().lines().forEach(line -> {
            assertTrue(line.startsWith("edge_gw."), line);
            int equals = line.indexOf('=');
            figures.put(line.substring("edge_gw.".length(), equals), Long.valueOf(line.substring(equals + 1)));
        });
        return figures;
    }

    private void awaitFigure(String name, long value) throws InterruptedException {
        SidecarFixture.await(name + " is " + value, () -> {
            try {
                return figures().get(name) == value;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    // ---- calls ----

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
        HttpTestConnection.Message answer = fixture.callAdmin(method, path);
        assertEquals(status, answer.status());
        assertEquals("close", answer.headers().get("connection"));
        assertTrue(answer.body().endsWith("\n"), answer.body());
        assertTrue(status == 200 || answer.body().lines().count() == 1, answer.body());
        assertEquals(status == 405, answer.headers().containsKey("allow"));
    }

    @ParameterizedTest
    @CsvSource({
        "what?, 400",
        "GET /v1/readyz HTTP/1.1\\r\\nContent-Length: ten, 400",
        "PUT /v1/sidecar/drain HTTP/1.1\\r\\nContent-Length: 99999, 413"
    })
    void rejectsMalformedRequests(String head, int status) throws Exception {
        start(StubEndpoint.respondingWith(200, "", "served"));
        try (HttpTestConnection wire = fixture.adminConnection()) {
            wire.send(head.replace("\\r\\n", "\r\n") + "\r\n\r\n");
            assertEquals(status, wire.read().status());
        }
        assertEquals(200, fixture.callAdmin("GET", "/v1/readyz").status(), "no harm is done");
    }

    // ---- callers who say nothing ----

    /** Guards against silent callers who take all the room: each call is answered beside them, and soon. */
    @Test
    void silentClientsDoNotKeepOthersOut() throws Exception {
        start(StubEndpoint.respondingWith(200, "", "served"));
        List<HttpTestConnection> silent = new ArrayList<>();
        for (int i = 0; i < 3 * AdminServer.MAX_CONNECTIONS; i++) {
            silent.add(fixture.adminConnection().send(i % 2 == 0 ? "" : "GET /v1/readyz HTTP/1.1\r\nX: "));
            assertEquals(200, fixture.callAdmin("GET", "/v1/readyz").status());
        }
        silent.get(0).awaitEnd();
        assertEquals(408, silent.get(silent.size() - 1).read().status());
        for (HttpTestConnection wire : silent) {
            wire.awaitEnd();
            wire.close();
        }
    }

    // ---- figures ----

    @Test
    void allMetricsExistFromTheStart() throws Exception {
        start(StubEndpoint.respondingWith(200, "", "served"));
        Map<String, Long> expected = new TreeMap<>();
        for (String kind : List.of("read", "order")) {
            for (String ending : List.of("success", "overload", "error")) {
                expected.put("replies." + kind + "." + ending, 0L);
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
        Map<String, Long> figures = new TreeMap<>(figures());
        // How late the loop has been by now is the machine's doing, but the figures are there.
        for (String late : List.of("ms", "over_1ms", "over_5ms", "over_20ms", "over_100ms", "over_500ms")) {
            String name = late.equals("ms") ? "loop_late_ms" : "loop_late." + late;
            assertTrue(figures.remove(name) >= 0, name);
        }
        assertEquals(expected, figures);
    }

    @Test
    void countsResponsesAndAttemptsAtTheirEnd() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((wire, request) -> {
            release.await();
            StubEndpoint.respond(wire, request.line().startsWith("GET") ? 200 : 500, "", "x");
        }));
        try (HttpTestConnection read = fixture.client();
                HttpTestConnection order = fixture.client()) {
            read.send(fixture.request("read", DEADLINE_MS));
            order.send(fixture.request("order", DEADLINE_MS));
            awaitFigure("dispatches", 2);
            assertEquals(2, figures().get("concurrent"));
            assertEquals(0, figures().get("replies.read.success"));
            release.countDown();
            assertEquals(200, read.read().status());
            assertEquals(502, order.read().status());
        }
        awaitFigure("concurrent", 0);
        assertEquals(1, figures().get("replies.read.success"));
        assertEquals(1, figures().get("replies.order.error"));
        assertEquals(2, figures().get("dispatches"));
    }

    @Test
    void countsRejectedRequestAsOverload() throws Exception {
        start();
        assertEquals(503, fixture.ask("read", DEADLINE_MS).status());
        awaitFigure("replies.read.overload", 1);
        assertEquals(0, figures().get("concurrent"));
    }

    @Test
    void requestOfDisconnectedClientIsNotConcurrent() throws Exception {
        start(new StubEndpoint((wire, request) -> wire.awaitEnd()));
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS));
            awaitFigure("concurrent", 1);
        }
        awaitFigure("concurrent", 0);
    }
}
