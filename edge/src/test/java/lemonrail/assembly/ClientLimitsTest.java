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

/**
 * Clients that violate the protocol or its limits get an error or are disconnected in time, without effect on others.
 */
@Timeout(60)
class ClientLimitsTest {

    private static final int DEADLINE_MS = 8000;
    /** The connection must end within this time. The second term allows for a busy machine. */
    private static final double MAX_DURATION_MS = 3000 + 5000;

    private static final String SMUGGLED_REQUEST =
            "GET /api HTTP/1.1\r\nX-Request-Id: hidden\r\nX-Class: read\r\n" + "X-Deadline-Ms: 8000\r\nHost: a\r\n\r\n";

    private SidecarFixture fixture;

    private SidecarFixture start(StubEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        return fixture.start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static StubEndpoint servingEndpoint() throws IOException {
        return StubEndpoint.respondingWith(200, "", "served");
    }

    private static void assertClosed(HttpTestConnection client) throws IOException {
        try {
            client.read();
        } catch (EOFException | SocketException e) {
            // As expected: no further message arrives.
            return;
        }
        throw new AssertionError("received a message where the end of the connection was expected");
    }

    // ---- time ----

    @Test
    void silentConnectionIsClosed() throws Exception {
        start(servingEndpoint());
        long startNs = System.nanoTime();
        try (HttpTestConnection client = fixture.client()) {
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
        start(servingEndpoint());
        long startNs = System.nanoTime();
        try (HttpTestConnection client = fixture.client()) {
            assertEquals(408, client.send(part).read().status());
            assertClosed(client);
        }
        assertTrue((System.nanoTime() - startNs) / 1e6 < MAX_DURATION_MS);
    }

    /** The time-out must not restart with each byte. */
    @Test
    void tricklingRequestTimesOut() throws Exception {
        start(servingEndpoint());
        long startNs = System.nanoTime();
        try (HttpTestConnection client = fixture.client()) {
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
            client.send("POST /api HTTP/1.1\r\nX: ");
            Thread trickle = new Thread(() -> {
                try {
                    while (true) {
                        client.send("y");
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
    void malformedOrAmbiguousFramingIsRejected(String framing) throws Exception {
        start(servingEndpoint());
        String head =
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: open\r\nX-Class: read\r\n" + "X-Deadline-Ms: 8000\r\n";
        try (HttpTestConnection client = fixture.client()) {
            assertEquals(
                    400, client.send(head + framing + SMUGGLED_REQUEST).read().status());
            assertClosed(client);
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(1, fixture.attempts(), "no part of the malformed request was forwarded");
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Request-Id: twice", "X-Class: order", "X-Deadline-Ms: 9"})
    void repeatedHeaderIsRejected(String header) throws Exception {
        start(servingEndpoint());
        try (HttpTestConnection client = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS).replace("Host:", header + "\r\nHost:");
            assertEquals(400, client.send(request + SMUGGLED_REQUEST).read().status());
            assertClosed(client);
        }
        assertEquals(0, fixture.attempts());
    }

    // ---- size ----

    /**
     * The error is sent as soon as the head has been read, and arrives although the client is still sending. A body of
     * unknown length is rejected before it is complete.
     */
    @Test
    void bodyThatIsTooLargeIsRejected() throws Exception {
        start(servingEndpoint());
        try (HttpTestConnection client = fixture.client()) {
            client.send("POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 62914560\r\n\r\n");
            client.send("x".repeat(100_000));
            assertEquals(413, client.read().status());
            assertClosed(client);
        }
        try (HttpTestConnection client = fixture.client()) {
            assertEquals(
                    400,
                    client.send("POST /api HTTP/1.1\r\nHost: a\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                                    + "11000\r\n" + "x".repeat(0x11000))
                            .read()
                            .status(),
                    "the body is rejected before it is complete");
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    @Test
    void endlessHeadIsRejected() throws Exception {
        start(servingEndpoint());
        try (HttpTestConnection client = fixture.client()) {
            client.send("GET /api HTTP/1.1\r\n" + "X-Pad: pppppppppppppppppp\r\n".repeat(2000));
            assertEquals(431, client.read().status());
            assertClosed(client);
        }
    }

    // ---- number of requests and connections ----

    /**
     * Of hundreds of requests in one read only a few are accepted, and the responses keep the order of the requests.
     */
    @Test
    void tooManyPipelinedRequestsEndTheConnection() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((connection, request) -> {
            release.await();
            StubEndpoint.respond(connection, 200, "", request.headers().get("x-request-id"));
        }));
        try (HttpTestConnection client = fixture.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                all.append(fixture.request("read", DEADLINE_MS));
            }
            client.send(all.toString());
            SidecarFixture.await("the first request is forwarded", () -> fixture.attempts() > 0);
            // Once another client has its response, all requests of the first read have been handled.
            assertEquals(503, fixture.sendRequest("order", DEADLINE_MS).status(), "the load balancer rejects it");
            release.countDown();
            int served = 0;
            for (int i = 0; i < 8; i++) {
                HttpTestConnection.Message response = client.read();
                served += i == served && response.status() == 200 ? 1 : 0;
                assertEquals(i < served ? 200 : 503, response.status());
                assertEquals(i < served ? "r" + i : "refused\n", response.body());
            }
            assertTrue(served > 0 && served < 8, served + " requests were served");
            assertEquals(429, client.read().status());
            assertClosed(client);
            assertEquals(served, fixture.attempts());
        }
    }

    /** Guards against silent connections that cause connections with requests to be closed. */
    @Test
    void connectionsWithoutRequestsAreEvictedFirst() throws Exception {
        fixture = new SidecarFixture(servingEndpoint());
        // The sidecar then permits the minimum number of client connections, which is 8.
        fixture.sockets = 1;
        fixture.start();
        List<HttpTestConnection> silent = new ArrayList<>();
        try (HttpTestConnection active = fixture.client()) {
            assertEquals(
                    200,
                    active.send(fixture.request("read", DEADLINE_MS)).read().status());
            for (int i = 0; i < 40; i++) {
                silent.add(fixture.client());
            }
            silent.get(0).awaitEnd();
            assertEquals(
                    200,
                    active.send(fixture.request("read", DEADLINE_MS)).read().status());
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        }
        for (HttpTestConnection client : silent) {
            client.close();
        }
    }

    /** Guards against a drain that waits for requests that are never completed. */
    @Test
    void drainClosesConnectionsWithIncompleteRequests() throws Exception {
        start(servingEndpoint());
        try (HttpTestConnection incomplete = fixture.client().send("POST /api HTTP/1.1\r\n");
                HttpTestConnection pipelined = fixture.client()) {
            pipelined.send(fixture.request("read", DEADLINE_MS) + "POST /api HTTP/1.1\r\n");
            assertNotEquals(0, pipelined.read().status());
            Thread drain = new Thread(fixture.sidecar::shutdownGracefully);
            drain.start();
            incomplete.awaitEnd();
            pipelined.awaitEnd();
            drain.join();
        }
    }

    /** The deadline of a request is bounded by its class, whatever the client sends. */
    @Test
    void deadlineIsBoundedByTheClass() throws Exception {
        start(servingEndpoint());
        assertEquals(200, fixture.sendRequest("order", 999_999_999).status());
        int forwardedDeadlineMs = Integer.parseInt(
                fixture.endpoints.get(0).requests.get(0).headers().get("x-deadline-ms"));
        assertTrue(forwardedDeadlineMs <= 9000, "deadline sent to the endpoint: " + forwardedDeadlineMs);
    }
}
