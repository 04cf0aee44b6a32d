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

    private Rig rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private static void disconnect(Wire client, boolean byReset) throws IOException {
        if (byReset) {
            client.reset();
        } else {
            client.close();
        }
    }

    private void awaitKnown() throws InterruptedException {
        long left = System.nanoTime();
        Rig.await("it is known that the clients have gone", () -> {
            try {
                return rig.operate("GET", "/v1/metrics").body().contains("concurrent=0");
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
        try (LateFake late = new LateFake()) {
            rig = new Rig();
            rig.cancel = mayCancel;
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + Rig.line(0, late.address(), "in_service", 0) + "]");
            rig.start();
            List<Wire> clients = new ArrayList<>();
            for (int i = 0; i < BURST; i++) {
                clients.add(rig.client().send(rig.request("order", DEADLINE_MS)));
            }
            Rig.await("all wait for their connections", () -> rig.inHand() == BURST);
            for (Wire client : clients) {
                disconnect(client, byReset);
            }
            awaitKnown();
            late.release();
            Rig.await("nothing is out any more", () -> rig.inHand() == 0);
            assertEquals(0, late.asked.get());
            assertEquals("late", rig.ask("order", DEADLINE_MS).body(), "the endpoint is reached from now on");
            assertEquals(1, late.asked.get(), "only by the client that still waits");
        }
    }

    /** The same with many clients at once, of which the balancer admits a part. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void noAttemptIsSentWhenManyClientsDisconnect(boolean mayCancel, boolean byReset) throws Exception {
        try (LateFake late = new LateFake()) {
            rig = new Rig();
            rig.cancel = mayCancel;
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + Rig.line(0, late.address(), "in_service", 0) + "]");
            rig.start();
            List<Wire> clients = new ArrayList<>();
            for (int i = 0; i < MANY; i++) {
                clients.add(rig.client().send(rig.request("read", DEADLINE_MS)));
            }
            Rig.await("some wait for their connections", () -> rig.inHand() > 0);
            rig.settle();
            for (Wire client : clients) {
                disconnect(client, byReset);
            }
            awaitKnown();
            late.release();
            Rig.await("nothing is out any more", () -> rig.inHand() == 0);
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
        try (LateFake late = new LateFake()) {
            Fake first = new Fake((wire, request) -> {
                failing.countDown();
                told.countDown();
                Rig.await("the list is there", () -> rig.discovery.requests.size() == 2);
                failing.await();
                Fake.answer(wire, 503, "X-Not-Run: 1\r\n", "");
            });
            rig = new Rig(first);
            rig.cancel = mayCancel;
            rig.discovery.script = (wire, request) -> {
                if (rig.discovery.requests.size() > 1) {
                    wire.awaitEnd();
                }
                told.await();
                Fake.answer(wire, 200, "", Rig.list(2, false, Rig.line(1, late.address(), "in_service", 0)));
            };
            rig.start();
            List<Wire> clients = new ArrayList<>();
            for (int i = 0; i < BURST; i++) {
                clients.add(rig.client().send(rig.request("order", DEADLINE_MS)));
            }
            Rig.await("their first attempts have failed", () -> rig.attempts() == BURST);
            rig.settle();
            Rig.await("some wait for a second connection", () -> rig.inHand() > 0);
            for (Wire client : clients) {
                disconnect(client, byReset);
            }
            awaitKnown();
            late.release();
            Rig.await("nothing is out any more", () -> rig.inHand() == 0);
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
        Fake.Script failing = (wire, request) -> {
            release.await();
            if (status == 0) {
                wire.reset();
            } else {
                Fake.answer(wire, status, status == 503 ? "X-Not-Run: 1\r\n" : "", "");
            }
        };
        rig = new Rig(new Fake(failing), new Fake(failing));
        rig.cancel = mayCancel;
        rig.start();
        List<Wire> clients = new ArrayList<>();
        for (int i = 0; i < BURST; i++) {
            clients.add(rig.client().send(rig.request("read", DEADLINE_MS)));
        }
        Rig.await("they are out", () -> rig.attempts() == BURST);
        for (Wire client : clients) {
            disconnect(client, byReset);
        }
        awaitKnown();
        release.countDown();
        Rig.await("nothing is owed any more", () -> rig.inHand() == 0);
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
        Fake.Script failing = (wire, request) -> {
            release.await();
            Fake.answer(wire, 500, "", "");
        };
        rig = new Rig(new Fake(failing), new Fake(failing));
        rig.cancel = false;
        rig.start();
        Wire client = rig.client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < MOST_AHEAD; i++) {
            all.append(rig.request("read", DEADLINE_MS));
        }
        client.send(all.toString());
        Rig.await("those that may be are out", () -> rig.attempts() > 0 && rig.attempts() == rig.inHand());
        rig.settle();
        int out = rig.attempts();
        String more = rig.request("read", DEADLINE_MS);
        client.send(more.repeat(behindBytes / more.length()));
        rig.settle();
        disconnect(client, byReset);
        awaitKnown();
        release.countDown();
        Rig.await("nothing is owed any more", () -> rig.inHand() == 0);
        rig.settle();
        assertEquals(out, rig.attempts());
    }

    /** The same for a client that has not read a response: it is not read either, as its write buffer is full. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectWithAnUnreadResponseIsNoticed(boolean byReset) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch begun = new CountDownLatch(1);
        Fake.Script script = (wire, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                wire.send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
                begun.countDown();
                wire.send("x".repeat(MOST_BYTES));
            }
            release.await();
            Fake.answer(wire, 500, "", "");
        };
        rig = new Rig(new Fake(script), new Fake(script));
        rig.cancel = false;
        rig.start();
        Wire client = rig.client();
        client.send(rig.request("read", DEADLINE_MS) + rig.request("read", DEADLINE_MS));
        begun.await();
        Rig.await("the second is out", () -> rig.attempts() == 2);
        rig.settle();
        disconnect(client, byReset);
        awaitKnown();
        release.countDown();
        Rig.await("nothing is owed any more", () -> rig.inHand() == 0);
        rig.settle();
        assertEquals(2, rig.attempts());
    }

    /** Guards against unnoticed disconnects of clients with so many requests that they are not read. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 8, 9, 300})
    void disconnectAfterManyRequestsIsNoticed(int requests) throws Exception {
        Fake hung = new Fake((wire, request) -> wire.awaitEnd());
        rig = new Rig(hung);
        rig.start();
        long left;
        try (Wire client = rig.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                all.append(rig.request("read", DEADLINE_MS));
            }
            client.send(all.toString());
            Rig.await("the first is out", () -> rig.attempts() > 0);
            left = System.nanoTime();
        }
        Rig.await("its attempts are called off", () -> hung.open.get() == 0 && rig.inHand() == 0);
        assertTrue((System.nanoTime() - left) / 1e6 < SOON_MS);
    }

    /** Guards against a response that is lost because of what its client sends after the request. */
    @Test
    void inputBehindARequestDoesNotTruncateItsResponse() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        rig = new Rig(new Fake((wire, request) -> {
            release.await();
            Fake.answer(wire, 200, "", "served");
        }));
        rig.start();
        try (Wire client = rig.client()) {
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
            Rig.await("it is out", () -> rig.attempts() == 1);
            assertEquals(200, release(client, release).status());
        }
    }

    private Wire.Message release(Wire client, CountDownLatch held) throws Exception {
        // Others have been served meanwhile, so all that is ever read of this input has been.
        for (int i = 0; i < BURST; i++) {
            try (Wire other = rig.client()) {
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
