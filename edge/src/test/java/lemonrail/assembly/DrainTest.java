package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A drain through the admin API: idle connections are closed, late requests are still served, and the drain can be
 * ended.
 */
@Timeout(60)
class DrainTest {

    private static final int DEADLINE_MS = 8000;
    private static final String READINESS_REQUEST = "GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void changeState(String operation) throws IOException {
        assertEquals(200, fixture.callAdmin("PUT", "/v1/sidecar/" + operation).status());
    }

    private void assertReady(int status) throws IOException {
        assertEquals(status, fixture.callAdmin("GET", "/v1/readyz").status());
        try (HttpTestConnection client = fixture.client()) {
            assertEquals(status, client.send(READINESS_REQUEST).read().status());
        }
    }

    @Test
    void drainClosesIdleConnections() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    if (request.startLine().startsWith("POST")) {
                        release.await();
                    }
                    StubEndpoint.respond(connection, 200, "", "served");
                }))
                .start();
        assertReady(200);
        try (HttpTestConnection idle = fixture.client();
                HttpTestConnection used = fixture.client();
                HttpTestConnection busy = fixture.client();
                HttpTestConnection silent = fixture.client()) {
            idle.send(fixture.request("read", DEADLINE_MS)).read();
            used.send(fixture.request("read", DEADLINE_MS)).read();
            busy.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the request is in flight", () -> fixture.attempts() == 3);
            changeState("drain");
            changeState("drain");
            assertReady(503);
            HttpTestConnection.Message response =
                    used.send(fixture.request("read", DEADLINE_MS)).read();
            assertEquals(200, response.status());
            assertEquals("close", response.headers().get("connection"));
            used.awaitEnd();
            idle.awaitEnd();
            silent.awaitEnd();
            HttpTestConnection.Message late = fixture.sendRequest("read", DEADLINE_MS);
            assertEquals(200, late.status(), "a late request is served");
            assertEquals("close", late.headers().get("connection"));
            release.countDown();
            response = busy.read();
            assertEquals(200, response.status(), "the request in flight is completed");
            assertEquals("close", response.headers().get("connection"));
            busy.awaitEnd();
        }
    }

    @Test
    void activateEndsTheDrain() throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served")).start();
        changeState("drain");
        assertReady(503);
        changeState("activate");
        changeState("activate");
        assertReady(200);
        try (HttpTestConnection client = fixture.client()) {
            for (int i = 0; i < 3; i++) {
                HttpTestConnection.Message response =
                        client.send(fixture.request("read", DEADLINE_MS)).read();
                assertEquals(200, response.status());
                assertNull(response.headers().get("connection"), "the connection is kept alive");
                fixture.awaitReusableConnections();
            }
        }
    }
}
