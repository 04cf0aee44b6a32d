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

/** Hundreds of clients connect and ask, and ask again: those that were there before are still served. */
@Timeout(90)
class AskingFloodTest {

    private static final int DEADLINE_MS = 4000;
    /** As many clients as there is room for with hardly a descriptor, and those of them that are reserved. */
    private static final int ROOM = 8;

    private static final int RESERVED = 4;
    private static final int DESCRIPTORS = 256;
    private static final int FLOODING = 300;
    /** So many descriptors give room to all returning clients, and to few of them where they are shared. */
    private static final int SHARED_DESCRIPTORS = 512;

    private static final int RETURNING = 110;
    /** So many requests of the flood are answered before the known clients' requests count. */
    private static final int UNDER_WAY = 1000;
    /** They ask in turn: whatever one waits for, the other is not idle for the 5 s that end a connection. */
    private static final int KNOWN = 2;

    private static final int ROUNDS = 30;
    /** Of the known clients' requests the module may refuse so many, as it has no room for all that ask. */
    private static final int MOST_REFUSED = KNOWN * ROUNDS / 10;

    private SidecarFixture rig;
    private final List<HttpTestConnection> clients = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (HttpTestConnection client : clients) {
            client.close();
        }
        rig.close();
    }

    private void start(int sockets, StubEndpoint... endpoints) throws IOException {
        rig = new SidecarFixture(endpoints);
        rig.sockets = sockets;
        rig.start();
    }

    private static StubEndpoint good() throws IOException {
        return StubEndpoint.respondingWith(200, "", "served");
    }

    private HttpTestConnection client() throws IOException {
        HttpTestConnection client = rig.client();
        clients.add(client);
        return client;
    }

    private HttpTestConnection.Message ask(HttpTestConnection client) throws IOException {
        return client.send(rig.request("read", DEADLINE_MS)).read();
    }

    private void assertServed(HttpTestConnection client, String which) throws IOException {
        assertEquals(200, ask(client).status(), which);
    }

    /** A client that has come back on its connection. */
    private HttpTestConnection returning() throws IOException {
        HttpTestConnection client = client();
        assertServed(client, "first");
        assertServed(client, "again");
        return client;
    }

    // ---- one by one ----

    /** Guards against newcomers that each ask once, and each push out who has been idle the longest. */
    @Test
    void newcomersDoNotPushOutReturningClients() throws Exception {
        start(1, good());
        List<HttpTestConnection> known = List.of(returning(), returning());
        for (int i = 0; i < 5 * ROOM; i++) {
            assertServed(client(), "newcomer " + i);
        }
        for (HttpTestConnection client : known) {
            assertServed(client, "known");
        }
    }

    /** Guards against returning clients that shut all others out: a part of the room is nobody's. */
    @Test
    void returningClientsKeepNoMoreThanTheirShare() throws Exception {
        start(1, good());
        for (int i = 0; i < ROOM; i++) {
            returning();
        }
        assertServed(client(), "newcomer");
        clients.get(RESERVED).awaitEnd();
        for (int i = 0; i < ROOM; i++) {
            if (i != RESERVED) {
                assertServed(clients.get(i), "returning " + i);
            }
        }
    }

    /** Guards against places that were reserved in the whole room, and fill all of what an upgrade leaves. */
    @Test
    void whatIsReservedShrinksWithTheRoom() throws Exception {
        start(SHARED_DESCRIPTORS, good());
        for (int i = 0; i < RETURNING; i++) {
            returning();
        }
        try (SidecarFixture other = new SidecarFixture(good())) {
            other.folder = rig.folder;
            other.start();
            SidecarFixture.await("the limits are shared", () -> rig.logged().contains("the limits are shared"));
            assertServed(client(), "newcomer");
        }
    }

    /** Guards against clients that are never idle, and so never make room. */
    @Test
    void whoIsNeverIdleHandsOnItsPlace() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubEndpoint.RequestHandler held = (wire, request) -> {
            release.await();
            StubEndpoint.respond(wire, 200, "", "served");
        };
        start(1, new StubEndpoint(held), new StubEndpoint(held), new StubEndpoint(held));
        for (int i = 0; i < ROOM; i++) {
            client().send(rig.request("read", DEADLINE_MS));
        }
        SidecarFixture.await("all are in hand", () -> rig.attempts() == ROOM);
        HttpTestConnection newcomer = client();
        rig.settle();
        release.countDown();
        List<HttpTestConnection> kept = new ArrayList<>();
        for (HttpTestConnection client : clients.subList(0, ROOM)) {
            HttpTestConnection.Message answer = client.read();
            assertEquals(200, answer.status());
            if ("close".equals(answer.headers().get("connection"))) {
                client.close();
            } else {
                kept.add(client);
            }
        }
        assertEquals(ROOM - 1, kept.size(), "one place is needed");
        // What has come before is dealt with by the time of a second answer.
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    404,
                    kept.get(0)
                            .send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n")
                            .read()
                            .status());
        }
        assertServed(newcomer, "who found no room when it came");
    }

    // ---- all at once ----

    /** Asks until it is over, on connections that it keeps as long as it may, or on ever new ones. */
    private void flood(int number, boolean keeps, AtomicBoolean over, AtomicInteger answered) {
        int asked = 0;
        while (!over.get()) {
            try (HttpTestConnection client = rig.client()) {
                do {
                    client.send("GET /api HTTP/1.1\r\nX-Request-Id: f" + number + "-" + asked++
                                    + "\r\nX-Class: read\r\nHost: x\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\n\r\n")
                            .read();
                    answered.incrementAndGet();
                } while (keeps && !over.get());
            } catch (IOException e) {
                // Its connection has been closed: it comes again at once.
                continue;
            }
        }
    }

    /** Guards against known clients that a flood leaves without an answer: their connections were closed. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void knownClientsAreServedInAnAskingFlood(boolean keeps) throws Exception {
        start(DESCRIPTORS, good(), good(), good());
        for (int i = 0; i < KNOWN; i++) {
            returning();
        }
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        List<Thread> flooding = new ArrayList<>();
        for (int i = 0; i < FLOODING; i++) {
            int number = i;
            flooding.add(new Thread(() -> flood(number, keeps, over, answered)));
            flooding.get(i).start();
        }
        try {
            // All the while they go on asking: who is idle for long is closed for that.
            for (int i = 0; answered.get() <= UNDER_WAY; i++) {
                ask(clients.get(i % KNOWN));
            }
            int refused = 0;
            for (int i = 0; i < KNOWN * ROUNDS; i++) {
                refused += ask(clients.get(i % KNOWN)).status() == 200 ? 0 : 1;
            }
            assertTrue(refused <= MOST_REFUSED, refused + " of " + KNOWN * ROUNDS + " refused");
        } finally {
            over.set(true);
            for (Thread each : flooding) {
                each.join();
            }
        }
    }
}
