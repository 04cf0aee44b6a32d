package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A drain by operators: idle connections are closed, late requests are still served, and the drain can be ended. */
@Timeout(60)
class DrainTest {

    private static final int DEADLINE_MS = 8000;
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

    private SidecarFixture rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private void call(String name) throws IOException {
        assertEquals(200, rig.callAdmin("PUT", "/v1/sidecar/" + name).status());
    }

    private void assertReady(int status) throws IOException {
        assertEquals(status, rig.callAdmin("GET", "/v1/readyz").status());
        try (HttpTestConnection front = rig.client()) {
            assertEquals(status, front.send(READY).read().status());
        }
    }

    @Test
    void drainClosesIdleConnections() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    if (request.line().startsWith("POST")) {
                        release.await();
                    }
                    StubEndpoint.respond(wire, 200, "", "served");
                }))
                .start();
        assertReady(200);
        try (HttpTestConnection idle = rig.client();
                HttpTestConnection used = rig.client();
                HttpTestConnection busy = rig.client();
                HttpTestConnection silent = rig.client()) {
            idle.send(rig.request("read", DEADLINE_MS)).read();
            used.send(rig.request("read", DEADLINE_MS)).read();
            busy.send(rig.request("order", DEADLINE_MS));
            SidecarFixture.await("it is in hand", () -> rig.attempts() == 3);
            call("drain");
            call("drain");
            assertReady(503);
            HttpTestConnection.Message last =
                    used.send(rig.request("read", DEADLINE_MS)).read();
            assertEquals(200, last.status());
            assertEquals("close", last.headers().get("connection"));
            used.awaitEnd();
            idle.awaitEnd();
            silent.awaitEnd();
            HttpTestConnection.Message late = rig.ask("read", DEADLINE_MS);
            assertEquals(200, late.status(), "a late request is served");
            assertEquals("close", late.headers().get("connection"));
            release.countDown();
            last = busy.read();
            assertEquals(200, last.status(), "the request in flight is completed");
            assertEquals("close", last.headers().get("connection"));
            busy.awaitEnd();
        }
    }

    @Test
    void activateEndsTheDrain() throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served")).start();
        call("drain");
        assertReady(503);
        call("activate");
        call("activate");
        assertReady(200);
        try (HttpTestConnection client = rig.client()) {
            for (int i = 0; i < 3; i++) {
                HttpTestConnection.Message answer =
                        client.send(rig.request("read", DEADLINE_MS)).read();
                assertEquals(200, answer.status());
                assertNull(answer.headers().get("connection"), "the connection is kept alive");
                rig.settle();
            }
        }
    }
}
