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

    private Rig rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private void call(String name) throws IOException {
        assertEquals(200, rig.operate("PUT", "/v1/sidecar/" + name).status());
    }

    private void assertReady(int status) throws IOException {
        assertEquals(status, rig.operate("GET", "/v1/readyz").status());
        try (Wire front = rig.client()) {
            assertEquals(status, front.send(READY).read().status());
        }
    }

    @Test
    void drainClosesIdleConnections() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        rig = new Rig(new Fake((wire, request) -> {
                    if (request.line().startsWith("POST")) {
                        release.await();
                    }
                    Fake.answer(wire, 200, "", "served");
                }))
                .start();
        assertReady(200);
        try (Wire idle = rig.client();
                Wire used = rig.client();
                Wire busy = rig.client();
                Wire silent = rig.client()) {
            idle.send(rig.request("read", DEADLINE_MS)).read();
            used.send(rig.request("read", DEADLINE_MS)).read();
            busy.send(rig.request("order", DEADLINE_MS));
            Rig.await("it is in hand", () -> rig.attempts() == 3);
            call("drain");
            call("drain");
            assertReady(503);
            Wire.Message last = used.send(rig.request("read", DEADLINE_MS)).read();
            assertEquals(200, last.status());
            assertEquals("close", last.headers().get("connection"));
            used.awaitEnd();
            idle.awaitEnd();
            silent.awaitEnd();
            Wire.Message late = rig.ask("read", DEADLINE_MS);
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
        rig = new Rig(Fake.answering(200, "", "served")).start();
        call("drain");
        assertReady(503);
        call("activate");
        call("activate");
        assertReady(200);
        try (Wire client = rig.client()) {
            for (int i = 0; i < 3; i++) {
                Wire.Message answer =
                        client.send(rig.request("read", DEADLINE_MS)).read();
                assertEquals(200, answer.status());
                assertNull(answer.headers().get("connection"), "the connection is kept alive");
                rig.settle();
            }
        }
    }
}
