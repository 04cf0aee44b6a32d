package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Returning clients are served while hundreds of others connect, send requests and reconnect. */
@Timeout(90)
class ReconnectFloodTest {

    private static final int DEADLINE_MS = 4000;
    /**
     * The limit on client connections with the smallest number of descriptors. The constant below is its reserved part.
     */
    private static final int MAX_CONNECTIONS = 8;

    private static final int RESERVED = 4;
    private static final int DESCRIPTORS = 256;
    private static final int FLOOD_CLIENTS = 300;
    /** Descriptors for all returning clients, and for few of them once they are split with another process. */
    private static final int SHARED_DESCRIPTORS = 512;

    private static final int RETURNING = 110;
    /** Responses that the flood gets before the returning clients' requests are counted. */
    private static final int FLOOD_RESPONSES_BEFORE_COUNT = 1000;
    /** Two clients that send in turn, so that neither is idle for the 5 s after which a connection is closed. */
    private static final int RETURNING_IN_FLOOD = 2;

    private static final int ROUNDS = 30;
    /**
     * The number of requests of returning clients that may be rejected, as the load balancer lacks capacity for all.
     */
    private static final int MAX_REJECTED = RETURNING_IN_FLOOD * ROUNDS / 10;

    private SidecarFixture fixture;
    private final List<HttpTestConnection> clients = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (HttpTestConnection client : clients) {
            client.close();
        }
        fixture.close();
    }

    private void start(int sockets, StubEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        fixture.sockets = sockets;
        fixture.start();
    }

    private static StubEndpoint servingEndpoint() throws IOException {
        return StubEndpoint.respondingWith(200, "", "served");
    }

    private HttpTestConnection client() throws IOException {
        HttpTestConnection client = fixture.client();
        clients.add(client);
        return client;
    }

    private HttpTestConnection.Message request(HttpTestConnection client) throws IOException {
        return client.send(fixture.request("read", DEADLINE_MS)).read();
    }

    private void assertServed(HttpTestConnection client, String description) throws IOException {
        assertEquals(200, request(client).status(), description);
    }

    /** Returns a client that has sent a second request on its connection. */
    private HttpTestConnection returningClient() throws IOException {
        HttpTestConnection client = client();
        assertServed(client, "first");
        assertServed(client, "again");
        return client;
    }

    // ---- sequential connects ----

    /** Guards against new clients with one request each that evict returning clients which have been idle longer. */
    @Test
    void newClientsDoNotEvictReturningOnes() throws Exception {
        start(1, servingEndpoint());
        List<HttpTestConnection> returning = List.of(returningClient(), returningClient());
        for (int i = 0; i < 5 * MAX_CONNECTIONS; i++) {
            assertServed(client(), "new client " + i);
        }
        for (HttpTestConnection client : returning) {
            assertServed(client, "returning");
        }
    }

    /** Guards against returning clients that use up all connections: a part of them is never reserved. */
    @Test
    void returningClientsKeepOnlyTheReservedConnections() throws Exception {
        start(1, servingEndpoint());
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            returningClient();
        }
        assertServed(client(), "new client");
        clients.get(RESERVED).awaitEnd();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            if (i != RESERVED) {
                assertServed(clients.get(i), "returning " + i);
            }
        }
    }

    /** Guards against reserved connections that use up the smaller limit during an upgrade. */
    @Test
    void reservedConnectionsAreReducedWithTheLimit() throws Exception {
        start(SHARED_DESCRIPTORS, servingEndpoint());
        for (int i = 0; i < RETURNING; i++) {
            returningClient();
        }
        try (SidecarFixture other = new SidecarFixture(servingEndpoint())) {
            other.stateDirectory = fixture.stateDirectory;
            other.start();
            SidecarFixture.await(
                    "the limits are shared",
                    () -> fixture.logged().contains("each uses half of the connection limits"));
            assertServed(client(), "new client");
        }
    }

    /** Guards against clients that are never idle and use up all connections. */
    @Test
    void clientThatIsNeverIdleIsDisconnectedForANewOne() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubEndpoint.RequestHandler held = (connection, request) -> {
            release.await();
            StubEndpoint.respond(connection, 200, "", "served");
        };
        start(1, new StubEndpoint(held), new StubEndpoint(held), new StubEndpoint(held));
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            client().send(fixture.request("read", DEADLINE_MS));
        }
        SidecarFixture.await("all requests are in flight", () -> fixture.attempts() == MAX_CONNECTIONS);
        HttpTestConnection newClient = client();
        fixture.awaitReusableConnections();
        release.countDown();
        List<HttpTestConnection> kept = new ArrayList<>();
        for (HttpTestConnection client : clients.subList(0, MAX_CONNECTIONS)) {
            HttpTestConnection.Message response = client.read();
            assertEquals(200, response.status());
            if ("close".equals(response.headers().get("connection"))) {
                client.close();
            } else {
                kept.add(client);
            }
        }
        assertEquals(MAX_CONNECTIONS - 1, kept.size(), "one connection is closed for the new client");
        // By the second response, everything that arrived before is handled.
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    404,
                    kept.get(0)
                            .send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n")
                            .read()
                            .status());
        }
        assertServed(newClient, "client over the limit when it connected");
    }

    // ---- concurrent connects ----

    /** Sends requests until the flood is over, on persistent connections or on a new one each. */
    private void flood(int number, boolean persistent, AtomicBoolean stopped, AtomicInteger responses) {
        int sent = 0;
        while (!stopped.get()) {
            try (HttpTestConnection client = fixture.client()) {
                do {
                    client.send("GET /api HTTP/1.1\r\nX-Request-Id: f" + number + "-" + sent++
                                    + "\r\nX-Class: read\r\nHost: x\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\n\r\n")
                            .read();
                    responses.incrementAndGet();
                } while (persistent && !stopped.get());
            } catch (IOException e) {
                // The connection has been closed; the loop reconnects at once.
                continue;
            }
        }
    }

    /** Guards against a flood that causes connections of returning clients to be closed before their responses. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void returningClientsAreServedInAReconnectFlood(boolean persistent) throws Exception {
        start(DESCRIPTORS, servingEndpoint(), servingEndpoint(), servingEndpoint());
        for (int i = 0; i < RETURNING_IN_FLOOD; i++) {
            returningClient();
        }
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger responses = new AtomicInteger();
        List<Thread> floodThreads = new ArrayList<>();
        for (int i = 0; i < FLOOD_CLIENTS; i++) {
            int number = i;
            floodThreads.add(new Thread(() -> flood(number, persistent, stopped, responses)));
            floodThreads.get(i).start();
        }
        try {
            // The returning clients send requests meanwhile, because idle connections are closed.
            for (int i = 0; responses.get() <= FLOOD_RESPONSES_BEFORE_COUNT; i++) {
                request(clients.get(i % RETURNING_IN_FLOOD));
            }
            int rejected = 0;
            for (int i = 0; i < RETURNING_IN_FLOOD * ROUNDS; i++) {
                rejected += request(clients.get(i % RETURNING_IN_FLOOD)).status() == 200 ? 0 : 1;
            }
            assertTrue(rejected <= MAX_REJECTED, rejected + " of " + RETURNING_IN_FLOOD * ROUNDS + " rejected");
        } finally {
            stopped.set(true);
            for (Thread thread : floodThreads) {
                thread.join();
            }
        }
    }
}
