package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The whole sidecar on loopback sockets. */
@Timeout(60)
class SidecarTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    private SidecarFixture start(StubEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        return fixture.start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static StubEndpoint good() throws IOException {
        return StubEndpoint.respondingWith(200, "Content-Type: text/x\r\n", "served");
    }

    // ---- a request and its answer ----

    @Test
    void aRequestAndItsAnswerGoThroughUnchanged() throws Exception {
        start(good());
        HttpTestConnection.Message answer = fixture.ask("order", DEADLINE_MS);
        assertEquals(200, answer.status());
        assertEquals("served", answer.body());
        assertEquals("text/x", answer.headers().get("content-type"));
        HttpTestConnection.Message seen = fixture.endpoints.get(0).requests.get(0);
        assertEquals("POST /api?q=1 HTTP/1.1", seen.line());
        assertEquals("hello", seen.body());
        assertEquals("r0", seen.headers().get("x-request-id"));
        assertEquals("k1", seen.headers().get("idempotency-key"));
        int deadline = Integer.parseInt(seen.headers().get("x-deadline-ms"));
        assertTrue(deadline > 0 && deadline <= DEADLINE_MS, "what the sidecar waits: " + deadline);
    }

    @Test
    void connectionsAreKeptOnBothSides() throws Exception {
        start(good());
        try (HttpTestConnection client = fixture.client()) {
            for (int i = 0; i < 5; i++) {
                assertEquals(
                        200,
                        client.send(fixture.request("read", DEADLINE_MS)).read().status());
                fixture.settle();
            }
        }
        assertEquals(1, fixture.endpoints.get(0).connections.get());
    }

    /** Guards against answers that overtake: a client that sends ahead takes them by their order. */
    @Test
    void answersKeepTheOrderOfTheRequests() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        start(new StubEndpoint((wire, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                second.await();
            } else {
                second.countDown();
            }
            StubEndpoint.respond(wire, 200, "", request.headers().get("x-request-id"));
        }));
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS) + fixture.request("read", DEADLINE_MS));
            assertEquals("r0", client.read().body());
            assertEquals("r1", client.read().body());
        }
    }

    // ---- what may have run, and what never did ----

    /** Guards against effects that happen twice: an unsafe request that may have run is not sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "half", "unframed", "garbage", "503", "504", "500", "201"})
    void anUnsafeRequestThatMayHaveRunFailsAtOnce(String how) throws Exception {
        StubEndpoint.RequestHandler script = (wire, request) -> {
            switch (how) {
                case "reset" -> wire.reset();
                case "half" -> {
                    wire.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                    wire.close();
                }
                case "unframed" -> {
                    wire.send("HTTP/1.1 200 OK\r\n\r\nwho knows whether this is all");
                    wire.close();
                }
                case "garbage" -> wire.send("what?\r\n\r\n");
                default -> StubEndpoint.respond(wire, Integer.parseInt(how), "", "mine");
            }
        };
        start(new StubEndpoint(script), new StubEndpoint(script));
        HttpTestConnection.Message answer = fixture.ask("order", DEADLINE_MS);
        assertEquals(502, answer.status());
        assertFalse(answer.body().contains("mine"), "an endpoint's refusal or error is not passed on");
        assertEquals(1, fixture.attempts());
    }

    /** Guards against giving up too early: what surely never ran may be tried elsewhere, unsafe or not. */
    @ParameterizedTest
    @CsvSource({"order,503", "order,504", "order,refused", "read,500", "read,reset"})
    void whatIsKnownToBeHarmlessIsTriedElsewhere(String kind, String how) throws Exception {
        StubEndpoint bad = new StubEndpoint((wire, request) -> {
            if (how.equals("reset")) {
                wire.reset();
            } else {
                StubEndpoint.respond(wire, Integer.parseInt(how), "X-Not-Run: 1\r\n", "");
            }
        });
        StubEndpoint other = new StubEndpoint(bad.requestHandler);
        start(bad, other);
        StubEndpoint.RequestHandler good = (wire, request) -> StubEndpoint.respond(wire, 200, "", "served");
        // Whichever is asked first fails, and the other one serves.
        if (how.equals("refused")) {
            bad.close();
            SidecarFixture.await("nobody listens there", () -> {
                try (HttpTestConnection wire = HttpTestConnection.to(new InetSocketAddress("127.0.0.1", bad.port()))) {
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
            other.requestHandler = good;
        } else {
            StubEndpoint.RequestHandler first = bad.requestHandler;
            StubEndpoint.RequestHandler once = (wire, request) -> {
                bad.requestHandler = good;
                other.requestHandler = good;
                first.handle(wire, request);
            };
            bad.requestHandler = once;
            other.requestHandler = once;
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(200, fixture.ask(kind, DEADLINE_MS).status());
        }
    }

    /** Guards against a hang that holds everything: the attempt is given up and its connection closed. */
    @Test
    void anAttemptThatIsGivenUpClosesItsConnection() throws Exception {
        StubEndpoint hung = new StubEndpoint((wire, request) -> wire.awaitEnd());
        start(hung);
        HttpTestConnection.Message answer = fixture.ask("order", 300);
        assertEquals(502, answer.status(), "it may have run");
        SidecarFixture.await("the connection is closed", () -> hung.open.get() == 0);
        assertEquals(1, fixture.attempts());
    }

    @Test
    void aClientThatGoesAwayTakesItsAttemptsAlong() throws Exception {
        StubEndpoint hung = new StubEndpoint((wire, request) -> wire.awaitEnd());
        start(hung);
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the attempt is out", () -> hung.requests.size() == 1);
        }
        SidecarFixture.await("the attempt is called off", () -> hung.open.get() == 0);
    }

    /** Guards against clients that come straight back: a refusal is given at once and says when. */
    @Test
    void aRefusalComesAtOnceAndTellsWhenToComeBack() throws Exception {
        start();
        long began = System.nanoTime();
        HttpTestConnection.Message answer = fixture.ask("order", DEADLINE_MS);
        assertEquals(503, answer.status());
        assertEquals(0.5, Double.parseDouble(answer.headers().get("retry-after")));
        assertTrue((System.nanoTime() - began) / 1e6 < DEADLINE_MS / 2.0, "long before the deadline");
    }

    /**
     * Guards against events inside the module's own call: with all connections busy an attempt ends within
     * send. Also against more sockets than there are.
     */
    @Test
    void attemptsBeyondTheLastConnectionEndInOrder() throws Exception {
        StubEndpoint[] hung = new StubEndpoint[4];
        for (int i = 0; i < hung.length; i++) {
            hung[i] = new StubEndpoint((wire, request) -> wire.awaitEnd());
        }
        fixture = new SidecarFixture(hung);
        fixture.sockets = 1;
        fixture.start();
        try (HttpTestConnection ahead = fixture.client()) {
            for (int i = 0; i < 8; i++) {
                ahead.send(fixture.request("order", DEADLINE_MS));
            }
            SidecarFixture.await("all connections are busy", () -> fixture.attempts() == 8);
            assertEquals(503, fixture.ask("order", DEADLINE_MS).status());
            assertEquals(8, fixture.attempts());
            assertTrue(fixture.logged().contains("all 8 connections to endpoints are busy"), fixture.logged());
            assertFalse(fixture.logged().contains("module failed"), fixture.logged());
        }
    }

    /** Guards against running out of descriptors: beyond the bound clients are refused in good order. */
    @Test
    void clientsBeyondTheBoundAreRefused() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint((wire, request) -> wire.awaitEnd()));
        fixture.sockets = 1;
        fixture.start();
        List<HttpTestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(fixture.client().send(fixture.request("order", DEADLINE_MS)));
        }
        SidecarFixture.await("some are in hand", () -> fixture.attempts() == 4);
        // Idle ones make room for those that come after; busy ones stay.
        for (int i = 0; i < 12; i++) {
            clients.add(fixture.client());
        }
        clients.get(4).awaitEnd();
        for (int i = 12; i < 16; i++) {
            clients.get(i).send("POST /api HTTP/1.1\r\n");
        }
        clients.add(fixture.client());
        for (HttpTestConnection client : clients) {
            client.close();
        }
        SidecarFixture.await(
                "the endpoint is let go", () -> fixture.endpoints.get(0).open.get() == 0);
        fixture.endpoints.get(0).requestHandler = (wire, request) -> StubEndpoint.respond(wire, 200, "", "served");
        assertEquals(200, fixture.ask("order", DEADLINE_MS).status());
    }

    // ---- what is no request ----

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "X-Class: read|X-Class: novel|400",
                "X-Class: read|Y: z|400",
                "X-Request-Id: r0|Y: z|400",
                "X-Deadline-Ms: 8000|X-Deadline-Ms: soon|400",
                "X-Deadline-Ms: 8000|Y: z|400",
                "/api?q=1|/other|404",
                "GET /api|PUT /api|405",
                "HTTP/1.1|HTTP|400",
                "Host: app.svc|Content-Length: 33554433|413"
            })
    void whatIsNoRequestGetsAPlainAnswer(String part, String instead, int status) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((wire, request) -> {
            release.await();
            StubEndpoint.respond(wire, 200, "", "served");
        }));
        try (HttpTestConnection other = fixture.client();
                HttpTestConnection client = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS);
            other.send(fixture.request("read", DEADLINE_MS));
            SidecarFixture.await("another request is in hand", () -> fixture.attempts() == 1);
            assertTrue(request.contains(part), part);
            assertEquals(
                    status, client.send(request.replace(part, instead)).read().status());
            release.countDown();
            assertEquals(200, other.read().status());
        }
        assertEquals(1, fixture.attempts());
    }

    @Test
    void anIdThatIsInHandIsNotTakenTwice() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((wire, request) -> {
            release.await();
            StubEndpoint.respond(wire, 200, "", "served");
        }));
        try (HttpTestConnection one = fixture.client();
                HttpTestConnection two = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS);
            one.send(request);
            SidecarFixture.await("it is in hand", () -> fixture.attempts() == 1);
            assertEquals(409, two.send(request).read().status());
            release.countDown();
            assertEquals(200, one.read().status());
        }
    }

    // ---- connections to endpoints ----

    /** Guards against writing on a connection that the endpoint is closing, which would be a reset. */
    @Test
    void idleConnectionsAreClosedBeforeTheEndpointDoes() throws Exception {
        fixture = new SidecarFixture(good());
        fixture.idleCloseMs = 400;
        fixture.start();
        assertEquals(200, fixture.ask("read", DEADLINE_MS).status());
        SidecarFixture.await(
                "the idle connection is closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
    }

    // ---- discovery ----

    /** A discovery that answers calls with what the test puts in, one after another. */
    private LinkedBlockingQueue<String> discovering() {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        fixture.discovery.requestHandler = (wire, request) -> {
            String answer = answers.take();
            if (answer.equals("reset")) {
                wire.reset();
            } else {
                StubEndpoint.respond(wire, answer.isEmpty() ? 503 : 200, "", answer);
            }
        };
        return answers;
    }

    @Test
    void theWatchGoesOnFromTheVersionOfItsLastAnswer() throws Exception {
        StubEndpoint before = good();
        StubEndpoint after = good();
        fixture = new SidecarFixture(before);
        fixture.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = discovering();
        fixture.start();
        answers.add(SidecarFixture.list(
                7,
                false,
                SidecarFixture.line(0, before.address(), "terminating", 0),
                SidecarFixture.line(1, after.address(), "in_service", 0)));
        SidecarFixture.await("the next call is made", () -> fixture.discovery.requests.size() == 2);
        assertEquals(
                List.of(
                        "GET /registry/instances?index=1&wait=3000 HTTP/1.1",
                        "GET /registry/instances?index=7&wait=3000 HTTP/1.1"),
                fixture.discovery.requests.stream()
                        .map(HttpTestConnection.Message::line)
                        .toList());
        assertEquals(200, fixture.ask("order", DEADLINE_MS).status());
        assertEquals(0, before.requests.size(), "it drains");
        assertEquals(1, after.requests.size());
        after.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "reset", "{\"version\":", "{\"version\":1}"})
    void aCallThatFailedIsMadeAgain(String failure) throws Exception {
        fixture = new SidecarFixture(good());
        fixture.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = discovering();
        fixture.start();
        answers.add(failure);
        answers.add(failure);
        SidecarFixture.await("it asks again", () -> fixture.discovery.requests.size() >= 3);
        assertEquals(200, fixture.ask("order", DEADLINE_MS).status());
        assertTrue(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    /** Guards against trust in a watch that has fallen silent: the next one tells what it would have. */
    @Test
    void aWatchThatFellSilentIsGivenUpSoonAfterItsWait() throws Exception {
        StubEndpoint before = good();
        StubEndpoint after = good();
        fixture = new SidecarFixture(before);
        fixture.askWithinMs = 20;
        fixture.discoveryWaitMs = 100;
        fixture.discovery.requestHandler = (wire, request) -> {
            if (fixture.discovery.requests.size() > 1) {
                StubEndpoint.respond(
                        wire,
                        200,
                        "",
                        SidecarFixture.list(7, true, SidecarFixture.line(1, after.address(), "in_service", 0)));
                fixture.discovery.requestHandler = (next, call) -> next.awaitEnd();
            }
        };
        fixture.start();
        SidecarFixture.await("the list is there", () -> fixture.discovery.requests.size() >= 3);
        assertEquals(200, fixture.ask("order", DEADLINE_MS).status());
        assertEquals(1, after.requests.size());
        assertTrue(
                fixture.logged().contains("endpoint discovery failed: timed out waiting for a response"),
                fixture.logged());
        after.close();
    }

    /** Guards against changes since a version of another count, which would not be all there are. */
    @Test
    void theWholeListIsAskedForWhereVersionsGoBack() throws Exception {
        fixture = new SidecarFixture(good());
        fixture.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = discovering();
        fixture.start();
        answers.add(SidecarFixture.list(0, false));
        SidecarFixture.await("the next call is made", () -> fixture.discovery.requests.size() == 2);
        assertEquals(
                "GET /registry/instances HTTP/1.1",
                fixture.discovery.requests.get(1).line());
    }

    /** Guards against connections to a process that is no more, on which a request would be reset. */
    @ParameterizedTest
    @CsvSource({"true,0", "false,1000"})
    void anEndpointThatMovesOrRestartsGetsNewConnections(boolean moves, long started) throws Exception {
        StubEndpoint old = good();
        fixture = new SidecarFixture(old);
        fixture.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = discovering();
        fixture.start();
        assertEquals(200, fixture.ask("order", DEADLINE_MS).status());
        StubEndpoint now = moves ? good() : old;
        answers.add(SidecarFixture.list(2, false, SidecarFixture.line(0, now.address(), "in_service", started)));
        SidecarFixture.await("the old connection is closed", () -> old.open.get() == 0);
        assertEquals(200, fixture.ask("order", DEADLINE_MS).status());
        assertEquals(moves ? 1 : 2, old.connections.get());
        now.close();
    }

    // ---- start and end ----

    @Test
    void itIsReadyOnlyWithAnEndpointToServeFrom() throws Exception {
        start();
        String ask = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        try (HttpTestConnection client = fixture.client()) {
            assertEquals(503, client.send(ask).read().status());
        }
        stop();
        start(good());
        SidecarFixture.await("it is ready once it is warm", () -> {
            try (HttpTestConnection client = fixture.client()) {
                return client.send(ask).read().status() == 200;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    /** Guards against requests lost at a planned restart: those in hand and those still coming are served. */
    @Test
    void aDrainAnswersWhatIsInHandAndWhatStillComes() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((wire, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                release.await();
            }
            StubEndpoint.respond(wire, 200, "", "served");
        }));
        HttpTestConnection inHand = fixture.client().send(fixture.request("order", DEADLINE_MS));
        HttpTestConnection idle = fixture.client();
        HttpTestConnection kept = fixture.client();
        assertEquals(
                200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());
        assertEquals(
                200, kept.send(fixture.request("order", DEADLINE_MS)).read().status());
        Thread drain = new Thread(fixture.sidecar::shutdownGracefully);
        drain.start();
        int served = 0;
        try {
            while (true) {
                assertEquals(
                        200,
                        kept.send(fixture.request("order", DEADLINE_MS)).read().status());
                served++;
            }
        } catch (IOException e) {
            assertTrue(served > 1, "a connection that stands goes on for a while");
        }
        idle.awaitEnd();
        assertTrue(drain.isAlive(), "it waits for what is in hand");
        release.countDown();
        HttpTestConnection.Message answer = inHand.read();
        assertEquals(200, answer.status());
        assertEquals("close", answer.headers().get("connection"));
        drain.join();
        assertThrows(IOException.class, () -> fixture.client());
    }

    /** Guards against a warm-up that leaks: endpoints and discovery see nothing of it. */
    @Test
    void theWarmUpStaysWithinTheSidecar() throws Exception {
        start(good());
        SidecarFixture.await("it is warm", () -> fixture.logged().contains("warm after"));
        assertEquals(0, fixture.endpoints.get(0).connections.get());
        SidecarFixture.await("the watch is on", () -> !fixture.discovery.requests.isEmpty());
        assertEquals(
                List.of("GET /registry/instances?index=1&wait=3000 HTTP/1.1"),
                fixture.discovery.requests.stream()
                        .map(HttpTestConnection.Message::line)
                        .toList(),
                "its watch and nothing else");
    }

    /** Guards against one bad peer that harms the rest. */
    @Test
    void rudePeersHarmNobody() throws Exception {
        start(good());
        for (int i = 0; i < 20; i++) {
            fixture.client().send("GET /api HT").reset();
            fixture.client().send("\0\0\0\r\n\r\n").reset();
        }
        assertEquals(200, fixture.ask("order", DEADLINE_MS).status());
        try (HttpTestConnection client = fixture.client()) {
            client.send("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n");
            assertEquals(400, client.read().status());
            assertThrows(EOFException.class, client::read);
        }
    }
}
