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
 * The contract of the exchange package for each protocol: one final response, retries only as the class permits,
 * drains and deadlines. The same tests run with HTTP/1.1 and with a test protocol, over loopback sockets.
 */
@Timeout(60)
class ProtocolContractTest {

    private static final int LONG_DEADLINE_MS = 8000;
    private static final int SHORT_DEADLINE_MS = 400;

    @TempDir
    Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<TestEndpoint> endpoints = new ArrayList<>();
    private final List<Closeable> open = new ArrayList<>();
    private final CountDownLatch release = new CountDownLatch(1);
    private TestProtocol testProtocol;
    private Sidecar edge;
    private int requests;

    @AfterEach
    void stop() throws IOException {
        release.countDown();
        for (Closeable resource : open) {
            resource.close();
        }
        if (edge != null) {
            edge.stop();
        }
    }

    private TestEndpoint addEndpoint(EndpointAction... actions) throws IOException {
        TestEndpoint endpoint = testProtocol.endpoint(release, actions);
        endpoints.add(endpoint);
        open.add(endpoint);
        return endpoint;
    }

    private void writeConfig(TestEndpoint... draining) throws IOException {
        StringBuilder endpointTables = new StringBuilder();
        for (TestEndpoint endpoint : endpoints) {
            endpointTables
                    .append("[[endpoints]]\nid = \"p")
                    .append(endpoints.indexOf(endpoint))
                    .append("\"\naddress = \"")
                    .append(endpoint.address())
                    .append("\"\nrack = ")
                    .append(endpoints.indexOf(endpoint))
                    .append('\n')
                    .append(List.of(draining).contains(endpoint) ? "state = \"draining\"\n" : "");
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
            """.formatted(folder, endpointTables));
    }

    private void start(TestProtocol protocol) throws IOException {
        writeConfig();
        TomlFile source = new TomlFile(folder.resolve("edge.toml"), Map.of());
        edge = new SidecarBuilder(
                        protocol.protocol(),
                        source,
                        source.load(),
                        new TextSink(new PrintStream(log, true, StandardCharsets.UTF_8)))
                .build();
        edge.start();
    }

    private TestClient client() throws IOException {
        TestClient client = testProtocol.client(edge.address());
        open.add(client);
        return client;
    }

    private TestClient send(String requestClass, int deadlineMs) throws IOException {
        TestClient client = client();
        client.send("r" + requests++, requestClass, deadlineMs);
        return client;
    }

    private ClientResult sendRequest(String requestClass, int deadlineMs) throws IOException {
        return send(requestClass, deadlineMs).read();
    }

    private int attempts() {
        return endpoints.stream()
                .mapToInt(endpoint -> endpoint.requests().size())
                .sum();
    }

    private void awaitAttempts(int count) throws InterruptedException {
        SidecarFixture.await(count + " attempts", () -> attempts() == count);
    }

    // ---- one final response ----

    @ParameterizedTest
    @EnumSource
    void eachRequestIsServedOnceByOneEndpoint(TestProtocol protocol) throws Exception {
        testProtocol = protocol;
        addEndpoint(EndpointAction.SERVE);
        addEndpoint(EndpointAction.SERVE);
        start(protocol);
        TestClient client = client();
        for (int i = 0; i < 20; i++) {
            client.send("q" + i, i % 2 == 0 ? "read" : "order", LONG_DEADLINE_MS);
            assertEquals(new ClientResult(ClientResult.Kind.SERVED, "served q" + i), client.read());
        }
        assertEquals(20, attempts());
        assertEquals(
                20,
                new HashSet<>(endpoints.stream()
                                .flatMap(p -> p.requests().stream())
                                .toList())
                        .size());
    }

    @ParameterizedTest
    @EnumSource
    void requestRejectedAsInvalidIsNotRetried(TestProtocol protocol) throws Exception {
        testProtocol = protocol;
        addEndpoint(EndpointAction.REJECT);
        addEndpoint(EndpointAction.REJECT);
        start(protocol);
        assertEquals(
                ClientResult.Kind.REJECTED,
                sendRequest("read", LONG_DEADLINE_MS).kind());
        assertEquals(1, attempts());
    }

    // ---- retries ----

    @ParameterizedTest
    @EnumSource
    void idempotentRequestIsRetriedAtAnotherEndpoint(TestProtocol protocol) throws Exception {
        for (EndpointAction action : List.of(EndpointAction.FAIL, EndpointAction.RESET, EndpointAction.NOT_RUN)) {
            assertResult(protocol, action, "read", ClientResult.Kind.SERVED, 2);
        }
    }

    /**
     * Guards against a second execution: only an outcome that proves there was none permits a retry.
     */
    @ParameterizedTest
    @EnumSource
    void nonIdempotentRequestIsRetriedOnlyIfNotExecuted(TestProtocol protocol) throws Exception {
        assertResult(protocol, EndpointAction.NOT_RUN, "order", ClientResult.Kind.SERVED, 2);
        assertResult(protocol, EndpointAction.FAIL, "order", ClientResult.Kind.FAILED, 1);
        assertResult(protocol, EndpointAction.RESET, "order", ClientResult.Kind.FAILED, 1);
    }

    /** A keyed request may be retried only within its rack, and each rack has one endpoint here. */
    @ParameterizedTest
    @EnumSource
    void keyedRequestIsRetriedOnlyInItsRack(TestProtocol protocol) throws Exception {
        assertResult(protocol, EndpointAction.NOT_RUN, "save", ClientResult.Kind.SERVED, 2);
        testProtocol = protocol;
        reset();
        TestEndpoint first = addEndpoint(EndpointAction.RESET);
        TestEndpoint second = addEndpoint(EndpointAction.RESET);
        start(protocol);
        assertEquals(
                ClientResult.Kind.FAILED, sendRequest("save", LONG_DEADLINE_MS).kind());
        assertTrue(first.requests().isEmpty() || second.requests().isEmpty(), "requests were sent to one rack only");
    }

    /**
     * Sends a request to two endpoints of which the first to receive one applies the action; all other requests are
     * served.
     */
    private void assertResult(
            TestProtocol protocol, EndpointAction action, String requestClass, ClientResult.Kind expected, int attempts)
            throws Exception {
        testProtocol = protocol;
        reset();
        CountDownLatch first = new CountDownLatch(1);
        EndpointAction[] actions = {action, EndpointAction.SERVE};
        TestEndpoint one = testProtocol.endpointSharingFirstAction(release, first, actions);
        TestEndpoint two = testProtocol.endpointSharingFirstAction(release, first, actions);
        endpoints.addAll(List.of(one, two));
        open.addAll(List.of(one, two));
        start(protocol);
        assertEquals(expected, sendRequest(requestClass, LONG_DEADLINE_MS).kind(), action + " " + requestClass);
        assertEquals(attempts, attempts(), action + " " + requestClass);
    }

    private void reset() throws IOException {
        if (edge != null) {
            edge.stop();
        }
        for (TestEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        endpoints.clear();
    }

    @ParameterizedTest
    @EnumSource
    void endpointThatRefusesConnectionsIsSkipped(TestProtocol protocol) throws Exception {
        testProtocol = protocol;
        TestEndpoint closed = addEndpoint(EndpointAction.SERVE);
        addEndpoint(EndpointAction.SERVE);
        start(protocol);
        closed.close();
        for (String requestClass : List.of("read", "order", "save", "read", "order", "save")) {
            assertEquals(
                    ClientResult.Kind.SERVED,
                    sendRequest(requestClass, LONG_DEADLINE_MS).kind());
        }
        assertEquals(0, closed.requests().size());
    }

    // ---- deadlines ----

    @ParameterizedTest
    @EnumSource
    void requestAtAnUnresponsiveEndpointFailsAtItsDeadline(TestProtocol protocol) throws Exception {
        testProtocol = protocol;
        TestEndpoint silent = addEndpoint(EndpointAction.SILENT);
        start(protocol);
        long startNs = System.nanoTime();
        assertEquals(
                ClientResult.Kind.FAILED,
                sendRequest("order", SHORT_DEADLINE_MS).kind());
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        assertTrue(tookMs < LONG_DEADLINE_MS / 2, tookMs + " ms");
        SidecarFixture.await("the attempt is cancelled", () -> silent.connections() == 0);
        assertEquals(1, attempts());
    }

    /** Guards against a late response that is taken for the response to the next request. */
    @ParameterizedTest
    @EnumSource
    void lateResponseIsNotGivenToTheNextRequest(TestProtocol protocol) throws Exception {
        testProtocol = protocol;
        addEndpoint(EndpointAction.HOLD, EndpointAction.SERVE);
        start(protocol);
        TestClient client = client();
        client.send("late", "order", SHORT_DEADLINE_MS);
        assertEquals(ClientResult.Kind.FAILED, client.read().kind());
        release.countDown();
        for (int i = 0; i < 3; i++) {
            TestClient next = client();
            next.send("next" + i, "order", LONG_DEADLINE_MS);
            assertEquals(new ClientResult(ClientResult.Kind.SERVED, "served next" + i), next.read());
        }
    }

    // ---- limits ----

    @ParameterizedTest
    @EnumSource
    void fullPoolRejectsAtOnce(TestProtocol protocol) throws Exception {
        testProtocol = protocol;
        addEndpoint(EndpointAction.HOLD);
        start(protocol);
        List<TestClient> inFlight = new ArrayList<>();
        ClientResult rejection = null;
        for (int i = 0; i < 300 && rejection == null; i++) {
            TestClient client = send("order", LONG_DEADLINE_MS);
            int before = i + 1;
            SidecarFixture.await(
                    "the request is at the endpoint or rejected",
                    () -> attempts() == before - (client.hasResponse() ? 1 : 0) || client.hasResponse());
            rejection = client.hasResponse() ? client.read() : null;
            if (rejection == null) {
                inFlight.add(client);
            }
        }
        assertEquals(ClientResult.Kind.SHED, rejection.kind());
        release.countDown();
        for (TestClient client : inFlight) {
            assertEquals(ClientResult.Kind.SERVED, client.read().kind());
        }
    }

    // ---- drains and client disconnects ----

    @ParameterizedTest
    @EnumSource
    void drainingEndpointCompletesItsRequestsAndGetsNoNewOnes(TestProtocol protocol) throws Exception {
        testProtocol = protocol;
        TestEndpoint draining = addEndpoint(EndpointAction.HOLD);
        start(protocol);
        TestClient inFlight = send("order", LONG_DEADLINE_MS);
        awaitAttempts(1);
        TestEndpoint other = addEndpoint(EndpointAction.SERVE);
        writeConfig(draining);
        edge.reload();
        SidecarFixture.await(
                "the configuration is reloaded",
                () -> log.toString(StandardCharsets.UTF_8).contains("configuration read again"));
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    ClientResult.Kind.SERVED,
                    sendRequest(i % 2 == 0 ? "read" : "order", LONG_DEADLINE_MS).kind());
        }
        assertEquals(1, draining.requests().size());
        assertEquals(6, other.requests().size());
        release.countDown();
        assertEquals(ClientResult.Kind.SERVED, inFlight.read().kind());
    }

    @ParameterizedTest
    @EnumSource
    void stoppingSidecarRespondsToRequestsInFlight(TestProtocol protocol) throws Exception {
        testProtocol = protocol;
        addEndpoint(EndpointAction.HOLD);
        start(protocol);
        TestClient inFlight = send("order", LONG_DEADLINE_MS);
        awaitAttempts(1);
        Thread stopping = new Thread(edge::shutdownGracefully);
        stopping.start();
        SidecarFixture.await(
                "the sidecar is stopping",
                () -> log.toString(StandardCharsets.UTF_8).contains("stopping"));
        assertTrue(stopping.isAlive(), "the shutdown waits for requests in flight");
        release.countDown();
        assertEquals(ClientResult.Kind.SERVED, inFlight.read().kind());
        inFlight.awaitEnd();
        stopping.join();
        assertThrows(IOException.class, this::client);
    }

    @ParameterizedTest
    @EnumSource
    void attemptIsCancelledWhenItsClientDisconnects(TestProtocol protocol) throws Exception {
        testProtocol = protocol;
        TestEndpoint silent = addEndpoint(EndpointAction.SILENT);
        start(protocol);
        TestClient client = send("order", LONG_DEADLINE_MS);
        awaitAttempts(1);
        client.close();
        SidecarFixture.await("the attempt is cancelled", () -> silent.connections() == 0);
        SidecarFixture.await(
                "no request is open any more",
                () -> edge.loop()
                                .submit(() -> edge.requestAndEndpointCounts().get(0))
                                .syncUninterruptibly()
                                .getNow()
                        == 0);
        assertEquals(1, attempts());
    }
}
