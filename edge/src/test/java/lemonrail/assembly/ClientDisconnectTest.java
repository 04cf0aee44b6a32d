package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A request whose client has disconnected is not forwarded, whether or not attempts in flight may be cancelled. */
@Timeout(60)
class ClientDisconnectTest {

    private static final int DEADLINE_MS = 8000;
    /** Anything slower has waited for the deadline. */
    private static final double SOON_MS = DEADLINE_MS / 2.0;

    private static final int BURST = 3;
    /** More than the balancer admits at once, so that some are rejected before they disconnect. */
    private static final int MANY = 40;
    /** What is read behind as many requests as may be in flight on one connection, and more than that. */
    private static final int BEHIND_BYTES = 10_000;

    private static final int FAR_BEHIND_BYTES = 100_000;
    private static final int NOISE_BYTES = 1_000_000;
    private static final int MOST_AHEAD = 8;
    private static final int MOST_BYTES = 32 * 1024 * 1024;

    private SidecarFixture rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private static void disconnect(HttpTestConnection client, boolean byReset) throws IOException {
        if (byReset) {
            client.reset();
        } else {
            client.close();
        }
    }

    private void awaitKnown() throws InterruptedException {
        long left = System.nanoTime();
        SidecarFixture.await("it is known that the clients have gone", () -> {
            try {
                return rig.callAdmin("GET", "/v1/metrics").body().contains("concurrent=0");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        assertTrue((System.nanoTime() - left) / 1e6 < SOON_MS, "long before their deadlines");
    }

    /** Guards against attempts whose connection is established after the client has disconnected. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void attemptAwaitingItsConnectionIsNotSent(boolean mayCancel, boolean byReset) throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            rig = new SidecarFixture();
            rig.cancel = mayCancel;
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + SidecarFixture.line(0, late.address(), "in_service", 0) + "]");
            rig.start();
            List<HttpTestConnection> clients = new ArrayList<>();
            for (int i = 0; i < BURST; i++) {
                clients.add(rig.client().send(rig.request("order", DEADLINE_MS)));
            }
            SidecarFixture.await("all wait for their connections", () -> rig.openRequests() == BURST);
            for (HttpTestConnection client : clients) {
                disconnect(client, byReset);
            }
            awaitKnown();
            late.release();
            SidecarFixture.await("nothing is out any more", () -> rig.openRequests() == 0);
            assertEquals(0, late.asked.get());
            assertEquals("late", rig.ask("order", DEADLINE_MS).body(), "the endpoint is reached from now on");
            assertEquals(1, late.asked.get(), "only by the client that still waits");
        }
    }

    /** The same with many clients at once, of which the balancer admits a part. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void noAttemptIsSentWhenManyClientsDisconnect(boolean mayCancel, boolean byReset) throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            rig = new SidecarFixture();
            rig.cancel = mayCancel;
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + SidecarFixture.line(0, late.address(), "in_service", 0) + "]");
            rig.start();
            List<HttpTestConnection> clients = new ArrayList<>();
            for (int i = 0; i < MANY; i++) {
                clients.add(rig.client().send(rig.request("read", DEADLINE_MS)));
            }
            SidecarFixture.await("some wait for their connections", () -> rig.openRequests() > 0);
            rig.settle();
            for (HttpTestConnection client : clients) {
                disconnect(client, byReset);
            }
            awaitKnown();
            late.release();
            SidecarFixture.await("nothing is out any more", () -> rig.openRequests() == 0);
            assertEquals("late", rig.ask("order", DEADLINE_MS).body(), "the endpoint is reached from now on");
            assertEquals(1, late.asked.get(), "only by the client that still waits");
        }
    }

    /** Guards against a retry whose connection is established after the client has disconnected. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void retryAwaitingItsConnectionIsNotSent(boolean mayCancel, boolean byReset) throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        CountDownLatch failing = new CountDownLatch(BURST);
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            StubEndpoint first = new StubEndpoint((wire, request) -> {
                failing.countDown();
                told.countDown();
                SidecarFixture.await("the list is there", () -> rig.discovery.requests.size() == 2);
                failing.await();
                StubEndpoint.respond(wire, 503, "X-Not-Run: 1\r\n", "");
            });
            rig = new SidecarFixture(first);
            rig.cancel = mayCancel;
            rig.discovery.requestHandler = (wire, request) -> {
                if (rig.discovery.requests.size() > 1) {
                    wire.awaitEnd();
                }
                told.await();
                StubEndpoint.respond(
                        wire,
                        200,
                        "",
                        SidecarFixture.list(2, false, SidecarFixture.line(1, late.address(), "in_service", 0)));
            };
            rig.start();
            List<HttpTestConnection> clients = new ArrayList<>();
            for (int i = 0; i < BURST; i++) {
                clients.add(rig.client().send(rig.request("order", DEADLINE_MS)));
            }
            SidecarFixture.await("their first attempts have failed", () -> rig.attempts() == BURST);
            rig.settle();
            SidecarFixture.await("some wait for a second connection", () -> rig.openRequests() > 0);
            for (HttpTestConnection client : clients) {
                disconnect(client, byReset);
            }
            awaitKnown();
            late.release();
            SidecarFixture.await("nothing is out any more", () -> rig.openRequests() == 0);
            rig.settle();
            assertEquals(0, late.asked.get());
            assertEquals(BURST, rig.attempts());
        }
    }

    /** Guards against a retry of an attempt that fails after the client has disconnected. */
    @ParameterizedTest
    @CsvSource({
        "true,true,500",
        "true,false,500",
        "false,true,500",
        "false,false,500",
        "false,true,503",
        "false,false,503",
        "false,true,0",
        "false,false,0"
    })
    void attemptThatFailsAfterTheDisconnectIsNotRetried(boolean mayCancel, boolean byReset, int status)
            throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubEndpoint.RequestHandler failing = (wire, request) -> {
            release.await();
            if (status == 0) {
                wire.reset();
            } else {
                StubEndpoint.respond(wire, status, status == 503 ? "X-Not-Run: 1\r\n" : "", "");
            }
        };
        rig = new SidecarFixture(new StubEndpoint(failing), new StubEndpoint(failing));
        rig.cancel = mayCancel;
        rig.start();
        List<HttpTestConnection> clients = new ArrayList<>();
        for (int i = 0; i < BURST; i++) {
            clients.add(rig.client().send(rig.request("read", DEADLINE_MS)));
        }
        SidecarFixture.await("they are out", () -> rig.attempts() == BURST);
        for (HttpTestConnection client : clients) {
            disconnect(client, byReset);
        }
        awaitKnown();
        release.countDown();
        SidecarFixture.await("nothing is owed any more", () -> rig.openRequests() == 0);
        rig.settle();
        assertEquals(BURST, rig.attempts());
    }

    /** Guards against retries for a client whose disconnect is hidden behind unread input. */
    @ParameterizedTest
    @CsvSource({
        "0,false",
        "0,true",
        "200,false",
        "200,true",
        BEHIND_BYTES + ",false",
        BEHIND_BYTES + ",true",
        FAR_BEHIND_BYTES + ",false",
        FAR_BEHIND_BYTES + ",true",
        NOISE_BYTES + ",false",
        NOISE_BYTES + ",true"
    })
    void disconnectBehindUnreadInputIsNoticed(int behindBytes, boolean byReset) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubEndpoint.RequestHandler failing = (wire, request) -> {
            release.await();
            StubEndpoint.respond(wire, 500, "", "");
        };
        rig = new SidecarFixture(new StubEndpoint(failing), new StubEndpoint(failing));
        rig.cancel = false;
        rig.start();
        HttpTestConnection client = rig.client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < MOST_AHEAD; i++) {
            all.append(rig.request("read", DEADLINE_MS));
        }
        client.send(all.toString());
        SidecarFixture.await(
                "those that may be are out", () -> rig.attempts() > 0 && rig.attempts() == rig.openRequests());
        rig.settle();
        int out = rig.attempts();
        String more = rig.request("read", DEADLINE_MS);
        client.send(more.repeat(behindBytes / more.length()));
        rig.settle();
        disconnect(client, byReset);
        awaitKnown();
        release.countDown();
        SidecarFixture.await("nothing is owed any more", () -> rig.openRequests() == 0);
        rig.settle();
        assertEquals(out, rig.attempts());
    }

    /** The same for a client that has not read a response: it is not read either, as its write buffer is full. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectWithAnUnreadResponseIsNoticed(boolean byReset) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch begun = new CountDownLatch(1);
        StubEndpoint.RequestHandler script = (wire, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                wire.send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
                begun.countDown();
                wire.send("x".repeat(MOST_BYTES));
            }
            release.await();
            StubEndpoint.respond(wire, 500, "", "");
        };
        rig = new SidecarFixture(new StubEndpoint(script), new StubEndpoint(script));
        rig.cancel = false;
        rig.start();
        HttpTestConnection client = rig.client();
        client.send(rig.request("read", DEADLINE_MS) + rig.request("read", DEADLINE_MS));
        begun.await();
        SidecarFixture.await("the second is out", () -> rig.attempts() == 2);
        rig.settle();
        disconnect(client, byReset);
        awaitKnown();
        release.countDown();
        SidecarFixture.await("nothing is owed any more", () -> rig.openRequests() == 0);
        rig.settle();
        assertEquals(2, rig.attempts());
    }

    /** Guards against unnoticed disconnects of clients with so many requests that they are not read. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 8, 9, 300})
    void disconnectAfterManyRequestsIsNoticed(int requests) throws Exception {
        StubEndpoint hung = new StubEndpoint((wire, request) -> wire.awaitEnd());
        rig = new SidecarFixture(hung);
        rig.start();
        long left;
        try (HttpTestConnection client = rig.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                all.append(rig.request("read", DEADLINE_MS));
            }
            client.send(all.toString());
            SidecarFixture.await("the first is out", () -> rig.attempts() > 0);
            left = System.nanoTime();
        }
        SidecarFixture.await("its attempts are called off", () -> hung.open.get() == 0 && rig.openRequests() == 0);
        assertTrue((System.nanoTime() - left) / 1e6 < SOON_MS);
    }

    /** Guards against a response that is lost because of what its client sends after the request. */
    @Test
    void inputBehindARequestDoesNotTruncateItsResponse() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
            release.await();
            StubEndpoint.respond(wire, 200, "", "served");
        }));
        rig.start();
        try (HttpTestConnection client = rig.client()) {
            Thread noise = new Thread(() -> {
                try {
                    client.send(rig.request("order", DEADLINE_MS) + "no request\r\n\r\n");
                    client.send("x".repeat(1 << 20));
                } catch (IOException e) {
                    // Not all of it is read, nor need it be.
                    return;
                }
            });
            noise.setDaemon(true);
            noise.start();
            SidecarFixture.await("it is out", () -> rig.attempts() == 1);
            assertEquals(200, release(client, release).status());
        }
    }

    private HttpTestConnection.Message release(HttpTestConnection client, CountDownLatch held) throws Exception {
        // Others have been served meanwhile, so all that is ever read of this input has been.
        for (int i = 0; i < BURST; i++) {
            try (HttpTestConnection other = rig.client()) {
                assertEquals(
                        404,
                        other.send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n")
                                .read()
                                .status());
            }
        }
        held.countDown();
        return client.read();
    }
}
