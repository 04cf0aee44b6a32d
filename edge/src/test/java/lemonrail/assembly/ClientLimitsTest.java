package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that break the protocol or its limits: each gets an error or a close in time, without effect on others. */
@Timeout(60)
class ClientLimitsTest {

    private static final int DEADLINE_MS = 8000;
    /** Within this time the connection must end; the second term allows for a busy machine. */
    private static final double MAX_DURATION_MS = 3000 + 5000;

    private static final String SMUGGLED_REQUEST =
            "GET /api HTTP/1.1\r\nX-Request-Id: hidden\r\nX-Class: read\r\n" + "X-Deadline-Ms: 8000\r\nHost: a\r\n\r\n";

    private SidecarFixture rig;

    private SidecarFixture start(StubEndpoint... endpoints) throws IOException {
        rig = new SidecarFixture(endpoints);
        return rig.start();
    }

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private static StubEndpoint good() throws IOException {
        return StubEndpoint.respondingWith(200, "", "served");
    }

    private static void assertClosed(HttpTestConnection client) throws IOException {
        try {
            client.read();
        } catch (EOFException | SocketException e) {
            // As expected: no further message.
            return;
        }
        throw new AssertionError("one more message came");
    }

    // ---- time ----

    @Test
    void silentConnectionIsClosed() throws Exception {
        start(good());
        long startNs = System.nanoTime();
        try (HttpTestConnection client = rig.client()) {
            client.awaitEnd();
        }
        assertTrue((System.nanoTime() - startNs) / 1e6 < MAX_DURATION_MS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /api HT",
                "POST /api HTTP/1.1\r\nX-Request-Id: r0\r\n",
                "POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhel",
                "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"
            })
    void stalledRequestTimesOut(String part) throws Exception {
        start(good());
        long startNs = System.nanoTime();
        try (HttpTestConnection client = rig.client()) {
            assertEquals(408, client.send(part).read().status());
            assertClosed(client);
        }
        assertTrue((System.nanoTime() - startNs) / 1e6 < MAX_DURATION_MS);
    }

    /** The time limit must not start anew with each byte. */
    @Test
    void tricklingRequestTimesOut() throws Exception {
        start(good());
        long startNs = System.nanoTime();
        try (HttpTestConnection client = rig.client()) {
            assertEquals(
                    200, client.send(rig.request("read", DEADLINE_MS)).read().status());
            client.send("POST /api HTTP/1.1\r\n");
            Thread trickle = new Thread(() -> {
                try {
                    while (true) {
                        client.send("X: y\r\n");
                        Thread.sleep(20);
                    }
                } catch (IOException | InterruptedException e) {
                    return;
                }
            });
            trickle.setDaemon(true);
            trickle.start();
            assertEquals(408, client.read().status());
        }
        assertTrue((System.nanoTime() - startNs) / 1e6 < MAX_DURATION_MS);
    }

    // ---- malformed requests ----

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
                "Content-Length: 0, 0\r\n\r\n",
                "Content-Length: +0\r\n\r\n",
                "Content-Length: -4\r\n\r\n",
                "Content-Length: ten\r\n\r\n",
                "Content-Length : 5\r\n\r\n",
                "a line with no colon\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n\r\n"
            })
    void noRequestIsSmuggledInAnother(String framing) throws Exception {
        start(good());
        String head =
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: open\r\nX-Class: read\r\n" + "X-Deadline-Ms: 8000\r\n";
        try (HttpTestConnection client = rig.client()) {
            assertEquals(
                    400, client.send(head + framing + SMUGGLED_REQUEST).read().status());
            assertClosed(client);
        }
        assertEquals(200, rig.ask("order", DEADLINE_MS).status());
        assertEquals(1, rig.attempts(), "none of it was forwarded");
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Request-Id: twice", "X-Class: order", "X-Deadline-Ms: 9"})
    void repeatedHeaderIsAnError(String again) throws Exception {
        start(good());
        try (HttpTestConnection client = rig.client()) {
            String request = rig.request("read", DEADLINE_MS).replace("Host:", again + "\r\nHost:");
            assertEquals(400, client.send(request + SMUGGLED_REQUEST).read().status());
            assertClosed(client);
        }
        assertEquals(0, rig.attempts());
    }

    // ---- size ----

    /** The error is sent as soon as the head is read, and arrives though the client is still sending. */
    @Test
    void bodyTooLargeIsRejectedByItsHead() throws Exception {
        start(good());
        try (HttpTestConnection client = rig.client()) {
            client.send("POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 62914560\r\n\r\n");
            client.send("x".repeat(100_000));
            assertEquals(413, client.read().status());
            assertClosed(client);
        }
        try (HttpTestConnection client = rig.client()) {
            assertEquals(
                    400,
                    client.send("POST /api HTTP/1.1\r\nHost: a\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                                    + "11000\r\n" + "x".repeat(0x11000))
                            .read()
                            .status(),
                    "it is rejected before it is whole");
        }
        assertEquals(200, rig.ask("order", DEADLINE_MS).status());
    }

    @Test
    void endlessHeadIsCutShort() throws Exception {
        start(good());
        try (HttpTestConnection client = rig.client()) {
            client.send("GET /api HTTP/1.1\r\n" + "X-Pad: pppppppppppppppppp\r\n".repeat(2000));
            assertEquals(431, client.read().status());
            assertClosed(client);
        }
    }

    // ---- number ----

    /** Of hundreds of requests in one read few are accepted, and the responses keep their order. */
    @Test
    void tooManyPipelinedRequestsEndTheConnection() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((wire, request) -> {
            release.await();
            StubEndpoint.respond(wire, 200, "", request.headers().get("x-request-id"));
        }));
        try (HttpTestConnection client = rig.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                all.append(rig.request("read", DEADLINE_MS));
            }
            client.send(all.toString());
            SidecarFixture.await("the first is forwarded", () -> rig.attempts() > 0);
            // Once another client has its response, the whole first read has been handled.
            assertEquals(503, rig.ask("order", DEADLINE_MS).status(), "the load balancer rejects it");
            release.countDown();
            int sent = 0;
            for (int i = 0; i < 8; i++) {
                HttpTestConnection.Message answer = client.read();
                sent += i == sent && answer.status() == 200 ? 1 : 0;
                assertEquals(i < sent ? 200 : 503, answer.status());
                assertEquals(i < sent ? "r" + i : "refused\n", answer.body());
            }
            assertTrue(sent > 0 && sent < 8, sent + " were taken");
            assertEquals(429, client.read().status());
            assertClosed(client);
            assertEquals(sent, rig.attempts());
        }
    }

    /** Silent connections must not take the place of those with requests. */
    @Test
    void connectionsWithoutRequestsAreEvictedFirst() throws Exception {
        rig = new SidecarFixture(good());
        rig.sockets = 1;
        rig.start();
        List<HttpTestConnection> silent = new ArrayList<>();
        try (HttpTestConnection usual = rig.client()) {
            assertEquals(
                    200, usual.send(rig.request("read", DEADLINE_MS)).read().status());
            for (int i = 0; i < 40; i++) {
                silent.add(rig.client());
            }
            silent.get(0).awaitEnd();
            assertEquals(
                    200, usual.send(rig.request("read", DEADLINE_MS)).read().status());
            assertEquals(200, rig.ask("order", DEADLINE_MS).status());
        }
        for (HttpTestConnection client : silent) {
            client.close();
        }
    }

    /** A drain does not wait for requests that are never completed. */
    @Test
    void drainClosesConnectionsWithHalfARequest() throws Exception {
        start(good());
        try (HttpTestConnection half = rig.client().send("POST /api HTTP/1.1\r\n");
                HttpTestConnection behind = rig.client()) {
            behind.send(rig.request("read", DEADLINE_MS) + "POST /api HTTP/1.1\r\n");
            assertNotEquals(0, behind.read().status());
            Thread drain = new Thread(rig.sidecar::shutdownGracefully);
            drain.start();
            half.awaitEnd();
            behind.awaitEnd();
            drain.join();
        }
    }

    /** The deadline of a request is bounded by its class, whatever the client sends. */
    @Test
    void deadlineIsBoundedByTheClass() throws Exception {
        start(good());
        assertEquals(200, rig.ask("order", 999_999_999).status());
        int told =
                Integer.parseInt(rig.endpoints.get(0).requests.get(0).headers().get("x-deadline-ms"));
        assertTrue(told <= 9000, "what the endpoint is told: " + told);
    }
}
