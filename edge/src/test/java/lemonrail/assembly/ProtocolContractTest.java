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
import lemonrail.assembly.Talk.Act;
import lemonrail.assembly.Talk.Caller;
import lemonrail.assembly.Talk.Final;
import lemonrail.assembly.Talk.Peer;
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
    private final List<Peer> peers = new ArrayList<>();
    private final List<Closeable> open = new ArrayList<>();
    private final CountDownLatch release = new CountDownLatch(1);
    private Talk talk;
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

    private Peer peer(Act... acts) throws IOException {
        Peer peer = talk.peer(release, acts);
        peers.add(peer);
        open.add(peer);
        return peer;
    }

    private void write(Peer... draining) throws IOException {
        StringBuilder endpoints = new StringBuilder();
        for (Peer peer : peers) {
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

    private void start(Talk spoken) throws IOException {
        write();
        TomlFile source = new TomlFile(folder.resolve("edge.toml"), Map.of());
        edge = Sidecar.create(
                spoken.protocol(),
                source,
                source.load(),
                new TextSink(new PrintStream(log, true, StandardCharsets.UTF_8)));
        edge.open();
    }

    private Caller caller() throws IOException {
        Caller caller = talk.caller(edge.address());
        open.add(caller);
        return caller;
    }

    private Caller send(String kind, int deadlineMs) throws IOException {
        Caller caller = caller();
        caller.send("r" + requests++, kind, deadlineMs);
        return caller;
    }

    private Final ask(String kind, int deadlineMs) throws IOException {
        return send(kind, deadlineMs).read();
    }

    private int attempts() {
        return peers.stream().mapToInt(peer -> peer.requests().size()).sum();
    }

    private void awaitAttempts(int count) throws InterruptedException {
        Rig.await(count + " attempts", () -> attempts() == count);
    }

    // ---- one final response ----

    @ParameterizedTest
    @EnumSource
    void eachRequestIsServedOnceByOneEndpoint(Talk spoken) throws Exception {
        talk = spoken;
        peer(Act.SERVE);
        peer(Act.SERVE);
        start(spoken);
        Caller caller = caller();
        for (int i = 0; i < 20; i++) {
            caller.send("q" + i, i % 2 == 0 ? "read" : "order", LONG_MS);
            assertEquals(new Final(Final.Kind.SERVED, "served q" + i), caller.read());
        }
        assertEquals(20, attempts());
        assertEquals(
                20,
                new HashSet<>(peers.stream().flatMap(p -> p.requests().stream()).toList()).size());
    }

    @ParameterizedTest
    @EnumSource
    void requestRejectedAsInvalidIsNotRetried(Talk spoken) throws Exception {
        talk = spoken;
        peer(Act.TURN_AWAY);
        peer(Act.TURN_AWAY);
        start(spoken);
        assertEquals(Final.Kind.TURNED_AWAY, ask("read", LONG_MS).kind());
        assertEquals(1, attempts());
    }

    // ---- retries ----

    @ParameterizedTest
    @EnumSource
    void idempotentRequestIsRetriedAtAnotherEndpoint(Talk spoken) throws Exception {
        for (Act act : List.of(Act.FAIL, Act.RESET, Act.NOT_RUN)) {
            tryTwice(spoken, act, "read", Final.Kind.SERVED, 2);
        }
    }

    /**
     * Guards against a second execution: only an outcome that proves there was none permits a retry.
     */
    @ParameterizedTest
    @EnumSource
    void nonIdempotentRequestIsRetriedOnlyIfNotExecuted(Talk spoken) throws Exception {
        tryTwice(spoken, Act.NOT_RUN, "order", Final.Kind.SERVED, 2);
        tryTwice(spoken, Act.FAIL, "order", Final.Kind.FAILED, 1);
        tryTwice(spoken, Act.RESET, "order", Final.Kind.FAILED, 1);
    }

    /** A keyed request may be retried within its rack only, and here each rack has one endpoint. */
    @ParameterizedTest
    @EnumSource
    void keyedRequestIsRetriedOnlyInItsRack(Talk spoken) throws Exception {
        tryTwice(spoken, Act.NOT_RUN, "save", Final.Kind.SERVED, 2);
        talk = spoken;
        reset();
        Peer first = peer(Act.RESET);
        Peer second = peer(Act.RESET);
        start(spoken);
        assertEquals(Final.Kind.FAILED, ask("save", LONG_MS).kind());
        assertTrue(first.requests().isEmpty() || second.requests().isEmpty(), "one rack only");
    }

    /** Sends a request while both endpoints do this with the first request that each gets and serve all others. */
    private void tryTwice(Talk spoken, Act act, String kind, Final.Kind end, int attempts) throws Exception {
        talk = spoken;
        reset();
        CountDownLatch first = new CountDownLatch(1);
        Act[] once = {act, Act.SERVE};
        Peer one = talk.sharing(release, first, once);
        Peer two = talk.sharing(release, first, once);
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
        for (Peer peer : peers) {
            peer.close();
        }
        peers.clear();
    }

    @ParameterizedTest
    @EnumSource
    void endpointThatRefusesConnectionsIsSkipped(Talk spoken) throws Exception {
        talk = spoken;
        Peer gone = peer(Act.SERVE);
        peer(Act.SERVE);
        start(spoken);
        gone.close();
        for (String kind : List.of("read", "order", "save", "read", "order", "save")) {
            assertEquals(Final.Kind.SERVED, ask(kind, LONG_MS).kind());
        }
        assertEquals(0, gone.requests().size());
    }

    // ---- deadlines ----

    @ParameterizedTest
    @EnumSource
    void unresponsiveEndpointTimesOutAndTheClientIsInformed(Talk spoken) throws Exception {
        talk = spoken;
        Peer silent = peer(Act.SILENT);
        start(spoken);
        long began = System.nanoTime();
        assertEquals(Final.Kind.FAILED, ask("order", SHORT_MS).kind());
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertTrue(tookMs < LONG_MS / 2, tookMs + " ms");
        Rig.await("the attempt is given up", () -> silent.connections() == 0);
        assertEquals(1, attempts());
    }

    /** Guards against a late response that is taken for the next request's. */
    @ParameterizedTest
    @EnumSource
    void lateResponseIsNotGivenToTheNextRequest(Talk spoken) throws Exception {
        talk = spoken;
        peer(Act.HOLD, Act.SERVE);
        start(spoken);
        Caller caller = caller();
        caller.send("late", "order", SHORT_MS);
        assertEquals(Final.Kind.FAILED, caller.read().kind());
        release.countDown();
        for (int i = 0; i < 3; i++) {
            Caller next = caller();
            next.send("next" + i, "order", LONG_MS);
            assertEquals(new Final(Final.Kind.SERVED, "served next" + i), next.read());
        }
    }

    // ---- limits ----

    @ParameterizedTest
    @EnumSource
    void fullPoolRejectsAtOnce(Talk spoken) throws Exception {
        talk = spoken;
        peer(Act.HOLD);
        start(spoken);
        List<Caller> held = new ArrayList<>();
        Final refused = null;
        for (int i = 0; i < 300 && refused == null; i++) {
            Caller caller = send("order", LONG_MS);
            int before = i + 1;
            Rig.await(
                    "it is at the endpoint or refused",
                    () -> attempts() == before - (caller.hasAnswer() ? 1 : 0) || caller.hasAnswer());
            refused = caller.hasAnswer() ? caller.read() : null;
            if (refused == null) {
                held.add(caller);
            }
        }
        assertEquals(Final.Kind.REFUSED, refused.kind());
        release.countDown();
        for (Caller caller : held) {
            assertEquals(Final.Kind.SERVED, caller.read().kind());
        }
    }

    // ---- drains and client disconnects ----

    @ParameterizedTest
    @EnumSource
    void drainingEndpointCompletesItsRequestsAndGetsNoNewOnes(Talk spoken) throws Exception {
        talk = spoken;
        Peer draining = peer(Act.HOLD);
        start(spoken);
        Caller held = send("order", LONG_MS);
        awaitAttempts(1);
        Peer other = peer(Act.SERVE);
        write(draining);
        edge.reload();
        Rig.await("it is taken up", () -> log.toString(StandardCharsets.UTF_8).contains("read again"));
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    Final.Kind.SERVED,
                    ask(i % 2 == 0 ? "read" : "order", LONG_MS).kind());
        }
        assertEquals(1, draining.requests().size());
        assertEquals(6, other.requests().size());
        release.countDown();
        assertEquals(Final.Kind.SERVED, held.read().kind());
    }

    @ParameterizedTest
    @EnumSource
    void stoppingSidecarRespondsToRequestsInFlight(Talk spoken) throws Exception {
        talk = spoken;
        peer(Act.HOLD);
        start(spoken);
        Caller held = send("order", LONG_MS);
        awaitAttempts(1);
        Thread stopping = new Thread(edge::terminate);
        stopping.start();
        Rig.await("it is stopping", () -> log.toString(StandardCharsets.UTF_8).contains("stopping"));
        assertTrue(stopping.isAlive(), "it waits for requests in flight");
        release.countDown();
        assertEquals(Final.Kind.SERVED, held.read().kind());
        held.awaitEnd();
        stopping.join();
        assertThrows(IOException.class, this::caller);
    }

    @ParameterizedTest
    @EnumSource
    void attemptIsCancelledWhenItsClientDisconnects(Talk spoken) throws Exception {
        talk = spoken;
        Peer silent = peer(Act.SILENT);
        start(spoken);
        Caller caller = send("order", LONG_MS);
        awaitAttempts(1);
        caller.close();
        Rig.await("the attempt is given up", () -> silent.connections() == 0);
        Rig.await(
                "nothing is left",
                () -> edge.loop()
                                .submit(() -> edge.tableSizes().get(0))
                                .syncUninterruptibly()
                                .getNow()
                        == 0);
        assertEquals(1, attempts());
    }
}
