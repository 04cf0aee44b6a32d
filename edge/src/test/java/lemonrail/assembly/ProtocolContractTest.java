package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemonrail.assembly.TestProtocol.ClientResult;
import lemonrail.assembly.TestProtocol.EndpointAction;
import lemonrail.assembly.TestProtocol.TestClient;
import lemonrail.assembly.TestProtocol.TestEndpoint;
import lemonrail.config.TomlFile;
import lemonrail.logging.TextSink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The contract of the exchange package that holds for each protocol: one final response, retries only as the class
 * permits, drains and deadlines. HTTP/1.1 and a test protocol run through the same tests, over real sockets.
 */
@Timeout(60)
class ProtocolContractTest {

    private static final int LONG_MS = 8000;
    private static final int SHORT_MS = 400;

    @TempDir
    Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<TestEndpoint> peers = new ArrayList<>();
    private final List<Closeable> open = new ArrayList<>();
    private final CountDownLatch release = new CountDownLatch(1);
    private TestProtocol talk;
    private Sidecar edge;
    private int requests;

    @AfterEach
    void stop() throws IOException {
        release.countDown();
        for (Closeable each : open) {
            each.close();
        }
        if (edge != null) {
            edge.stop();
        }
    }

    private TestEndpoint peer(EndpointAction... acts) throws IOException {
        TestEndpoint peer = talk.peer(release, acts);
        peers.add(peer);
        open.add(peer);
        return peer;
    }

    private void write(TestEndpoint... draining) throws IOException {
        StringBuilder endpoints = new StringBuilder();
        for (TestEndpoint peer : peers) {
            endpoints
                    .append("[[endpoints]]\nid = \"p")
                    .append(peers.indexOf(peer))
                    .append("\"\naddress = \"")
                    .append(peer.address())
                    .append("\"\nrack = ")
                    .append(peers.indexOf(peer))
                    .append('\n')
                    .append(List.of(draining).contains(peer) ? "state = \"draining\"\n" : "");
        }
        Files.writeString(folder.resolve("edge.toml"), """
            name = "seam"
            seed = 5
            state-dir = "%s"
            [[listeners]]
            address = "127.0.0.1:0"
            %s
            [[classes]]
            name = "read"
            effect = "repeatable"
            aim = "8s"
            deadline = "8s"
            [[classes]]
            name = "order"
            effect = "once"
            aim = "8s"
            deadline = "8s"
            [[classes]]
            name = "save"
            effect = "keyed"
            key-scope = "rack"
            key-window = "10s"
            aim = "8s"
            deadline = "8s"
            [limits]
            connect-timeout = "2s"
            """.formatted(folder, endpoints));
    }

    private void start(TestProtocol spoken) throws IOException {
        write();
        TomlFile source = new TomlFile(folder.resolve("edge.toml"), Map.of());
        edge = new SidecarBuilder(
                        spoken.protocol(),
                        source,
                        source.load(),
                        new TextSink(new PrintStream(log, true, StandardCharsets.UTF_8)))
                .build();
        edge.start();
    }

    private TestClient caller() throws IOException {
        TestClient caller = talk.caller(edge.address());
        open.add(caller);
        return caller;
    }

    private TestClient send(String kind, int deadlineMs) throws IOException {
        TestClient caller = caller();
        caller.send("r" + requests++, kind, deadlineMs);
        return caller;
    }

    private ClientResult ask(String kind, int deadlineMs) throws IOException {
        return send(kind, deadlineMs).read();
    }

    private int attempts() {
        return peers.stream().mapToInt(peer -> peer.requests().size()).sum();
    }

    private void awaitAttempts(int count) throws InterruptedException {
        SidecarFixture.await(count + " attempts", () -> attempts() == count);
    }

    // ---- one final response ----

    @ParameterizedTest
    @EnumSource
    void eachRequestIsServedOnceByOneEndpoint(TestProtocol spoken) throws Exception {
        talk = spoken;
        peer(EndpointAction.SERVE);
        peer(EndpointAction.SERVE);
        start(spoken);
        TestClient caller = caller();
        for (int i = 0; i < 20; i++) {
            caller.send("q" + i, i % 2 == 0 ? "read" : "order", LONG_MS);
            assertEquals(new ClientResult(ClientResult.Kind.SERVED, "served q" + i), caller.read());
        }
        assertEquals(20, attempts());
        assertEquals(
                20,
                new HashSet<>(peers.stream().flatMap(p -> p.requests().stream()).toList()).size());
    }

    @ParameterizedTest
    @EnumSource
    void requestRejectedAsInvalidIsNotRetried(TestProtocol spoken) throws Exception {
        talk = spoken;
        peer(EndpointAction.REJECT);
        peer(EndpointAction.REJECT);
        start(spoken);
        assertEquals(ClientResult.Kind.REJECTED, ask("read", LONG_MS).kind());
        assertEquals(1, attempts());
    }

    // ---- retries ----

    @ParameterizedTest
    @EnumSource
    void idempotentRequestIsRetriedAtAnotherEndpoint(TestProtocol spoken) throws Exception {
        for (EndpointAction act : List.of(EndpointAction.FAIL, EndpointAction.RESET, EndpointAction.NOT_RUN)) {
            tryTwice(spoken, act, "read", ClientResult.Kind.SERVED, 2);
        }
    }

    /**
     * Guards against a second execution: only an outcome that proves there was none permits a retry.
     */
    @ParameterizedTest
    @EnumSource
    void nonIdempotentRequestIsRetriedOnlyIfNotExecuted(TestProtocol spoken) throws Exception {
        tryTwice(spoken, EndpointAction.NOT_RUN, "order", ClientResult.Kind.SERVED, 2);
        tryTwice(spoken, EndpointAction.FAIL, "order", ClientResult.Kind.FAILED, 1);
        tryTwice(spoken, EndpointAction.RESET, "order", ClientResult.Kind.FAILED, 1);
    }

    /** A keyed request may be retried within its rack only, and here each rack has one endpoint. */
    @ParameterizedTest
    @EnumSource
    void keyedRequestIsRetriedOnlyInItsRack(TestProtocol spoken) throws Exception {
        tryTwice(spoken, EndpointAction.NOT_RUN, "save", ClientResult.Kind.SERVED, 2);
        talk = spoken;
        reset();
        TestEndpoint first = peer(EndpointAction.RESET);
        TestEndpoint second = peer(EndpointAction.RESET);
        start(spoken);
        assertEquals(ClientResult.Kind.FAILED, ask("save", LONG_MS).kind());
        assertTrue(first.requests().isEmpty() || second.requests().isEmpty(), "one rack only");
    }

    /** Sends a request while both endpoints do this with the first request that each gets and serve all others. */
    private void tryTwice(TestProtocol spoken, EndpointAction act, String kind, ClientResult.Kind end, int attempts)
            throws Exception {
        talk = spoken;
        reset();
        CountDownLatch first = new CountDownLatch(1);
        EndpointAction[] once = {act, EndpointAction.SERVE};
        TestEndpoint one = talk.sharing(release, first, once);
        TestEndpoint two = talk.sharing(release, first, once);
        peers.addAll(List.of(one, two));
        open.addAll(List.of(one, two));
        start(spoken);
        assertEquals(end, ask(kind, LONG_MS).kind(), act + " " + kind);
        assertEquals(attempts, attempts(), act + " " + kind);
    }

    private void reset() throws IOException {
        if (edge != null) {
            edge.stop();
        }
        for (TestEndpoint peer : peers) {
            peer.close();
        }
        peers.clear();
    }

    @ParameterizedTest
    @EnumSource
    void endpointThatRefusesConnectionsIsSkipped(TestProtocol spoken) throws Exception {
        talk = spoken;
        TestEndpoint gone = peer(EndpointAction.SERVE);
        peer(EndpointAction.SERVE);
        start(spoken);
        gone.close();
        for (String kind : List.of("read", "order", "save", "read", "order", "save")) {
            assertEquals(ClientResult.Kind.SERVED, ask(kind, LONG_MS).kind());
        }
        assertEquals(0, gone.requests().size());
    }

    // ---- deadlines ----

    @ParameterizedTest
    @EnumSource
    void unresponsiveEndpointTimesOutAndTheClientIsInformed(TestProtocol spoken) throws Exception {
        talk = spoken;
        TestEndpoint silent = peer(EndpointAction.SILENT);
        start(spoken);
        long began = System.nanoTime();
        assertEquals(ClientResult.Kind.FAILED, ask("order", SHORT_MS).kind());
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertTrue(tookMs < LONG_MS / 2, tookMs + " ms");
        SidecarFixture.await("the attempt is given up", () -> silent.connections() == 0);
        assertEquals(1, attempts());
    }

    /** Guards against a late response that is taken for the next request's. */
    @ParameterizedTest
    @EnumSource
    void lateResponseIsNotGivenToTheNextRequest(TestProtocol spoken) throws Exception {
        talk = spoken;
        peer(EndpointAction.HOLD, EndpointAction.SERVE);
        start(spoken);
        TestClient caller = caller();
        caller.send("late", "order", SHORT_MS);
        assertEquals(ClientResult.Kind.FAILED, caller.read().kind());
        release.countDown();
        for (int i = 0; i < 3; i++) {
            TestClient next = caller();
            next.send("next" + i, "order", LONG_MS);
            assertEquals(new ClientResult(ClientResult.Kind.SERVED, "served next" + i), next.read());
        }
    }

    // ---- limits ----

    @ParameterizedTest
    @EnumSource
    void fullPoolRejectsAtOnce(TestProtocol spoken) throws Exception {
        talk = spoken;
        peer(EndpointAction.HOLD);
        start(spoken);
        List<TestClient> held = new ArrayList<>();
        ClientResult refused = null;
        for (int i = 0; i < 300 && refused == null; i++) {
            TestClient caller = send("order", LONG_MS);
            int before = i + 1;
            SidecarFixture.await(
                    "it is at the endpoint or refused",
                    () -> attempts() == before - (caller.hasAnswer() ? 1 : 0) || caller.hasAnswer());
            refused = caller.hasAnswer() ? caller.read() : null;
            if (refused == null) {
                held.add(caller);
            }
        }
        assertEquals(ClientResult.Kind.SHED, refused.kind());
        release.countDown();
        for (TestClient caller : held) {
            assertEquals(ClientResult.Kind.SERVED, caller.read().kind());
        }
    }

    // ---- drains and client disconnects ----

    @ParameterizedTest
    @EnumSource
    void drainingEndpointCompletesItsRequestsAndGetsNoNewOnes(TestProtocol spoken) throws Exception {
        talk = spoken;
        TestEndpoint draining = peer(EndpointAction.HOLD);
        start(spoken);
        TestClient held = send("order", LONG_MS);
        awaitAttempts(1);
        TestEndpoint other = peer(EndpointAction.SERVE);
        write(draining);
        edge.reload();
        SidecarFixture.await(
                "it is taken up", () -> log.toString(StandardCharsets.UTF_8).contains("read again"));
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    ClientResult.Kind.SERVED,
                    ask(i % 2 == 0 ? "read" : "order", LONG_MS).kind());
        }
        assertEquals(1, draining.requests().size());
        assertEquals(6, other.requests().size());
        release.countDown();
        assertEquals(ClientResult.Kind.SERVED, held.read().kind());
    }

    @ParameterizedTest
    @EnumSource
    void stoppingSidecarRespondsToRequestsInFlight(TestProtocol spoken) throws Exception {
        talk = spoken;
        peer(EndpointAction.HOLD);
        start(spoken);
        TestClient held = send("order", LONG_MS);
        awaitAttempts(1);
        Thread stopping = new Thread(edge::shutdownGracefully);
        stopping.start();
        SidecarFixture.await(
                "it is stopping", () -> log.toString(StandardCharsets.UTF_8).contains("stopping"));
        assertTrue(stopping.isAlive(), "it waits for requests in flight");
        release.countDown();
        assertEquals(ClientResult.Kind.SERVED, held.read().kind());
        held.awaitEnd();
        stopping.join();
        assertThrows(IOException.class, this::caller);
    }

    @ParameterizedTest
    @EnumSource
    void attemptIsCancelledWhenItsClientDisconnects(TestProtocol spoken) throws Exception {
        talk = spoken;
        TestEndpoint silent = peer(EndpointAction.SILENT);
        start(spoken);
        TestClient caller = send("order", LONG_MS);
        awaitAttempts(1);
        caller.close();
        SidecarFixture.await("the attempt is given up", () -> silent.connections() == 0);
        SidecarFixture.await(
                "nothing is left",
                () -> edge.loop()
                                .submit(() -> edge.requestAndEndpointCounts().get(0))
                                .syncUninterruptibly()
                                .getNow()
                        == 0);
        assertEquals(1, attempts());
    }
}
