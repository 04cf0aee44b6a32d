package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import lemonrail.config.TomlFile;
import lemonrail.http1.Http1Protocol;
import lemonrail.logging.BoundedSink;
import lemonrail.logging.LogSink;
import lemonrail.logging.Severity;
import lemonrail.logging.TextSink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A sidecar whose endpoints and settings come from a TOML file alone: reloads, shared suspensions and the log. */
@Timeout(60)
class TomlConfigurationTest {

    private static final String REQUEST =
            "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\n" + "X-Class: read\r\nX-Deadline-Ms: 4000\r\n\r\n";

    @TempDir
    Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final StubEndpoint first = StubEndpoint.respondingWith(200, "", "first");
    private final StubEndpoint second = StubEndpoint.respondingWith(200, "", "second");
    private Sidecar edge;
    private int requests;

    TomlConfigurationTest() throws IOException {
        // The stub endpoints are created for each test.
    }

    @AfterEach
    void stop() throws IOException {
        if (edge != null) {
            edge.stop();
        }
        first.close();
        second.close();
    }

    private String toml(String listener, StubEndpoint endpoint, String more) {
        return """
            name = "own"
            state-dir = "%s"
            [[listeners]]
            address = "%s"
            [[endpoints]]
            id = "e-%s"
            address = "%s"
            [[classes]]
            name = "read"
            effect = "repeatable"
            aim = "4s"
            deadline = "4s"
            %s
            """.formatted(folder, listener, endpoint.port(), endpoint.address(), more);
    }

    private Path write(String text) throws IOException {
        return Files.writeString(folder.resolve("own.toml"), text);
    }

    private void start(String text, LogSink sink) throws IOException {
        TomlFile source = new TomlFile(write(text), Map.of());
        edge = new SidecarBuilder(new Http1Protocol(), source, source.load(), sink).build();
        edge.start();
    }

    private void start(String text) throws IOException {
        start(text, new TextSink(new PrintStream(log, true, StandardCharsets.UTF_8)));
    }

    private HttpTestConnection.Message sendRequest(InetSocketAddress address) throws IOException {
        try (HttpTestConnection connection = HttpTestConnection.to(address)) {
            return connection.send(REQUEST.formatted("r" + requests++)).read();
        }
    }

    private void reload(String text, String logText) throws Exception {
        write(text);
        edge.reload();
        SidecarFixture.await(logText, () -> logged().contains(logText));
    }

    private String logged() {
        return log.toString(StandardCharsets.UTF_8);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static String hostAndPort(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    @Test
    void reloadAppliesEndpointsAndListenersAndLogsOtherChangedKeys() throws Exception {
        start(toml("127.0.0.1:0", first, ""));
        InetSocketAddress oldAddress = edge.address();
        assertEquals("first", sendRequest(oldAddress).body());
        InetSocketAddress newAddress = freeAddress();
        HttpTestConnection persistent = HttpTestConnection.to(oldAddress);
        assertEquals("first", persistent.send(REQUEST.formatted("kept")).read().body());
        reload(
                toml(hostAndPort(newAddress), second, "[limits]\nattempts = 5"),
                "changed keys that take effect only after a restart: [limits.attempts]");
        assertEquals("second", sendRequest(newAddress).body());
        persistent.awaitEnd();
        assertThrows(IOException.class, () -> sendRequest(oldAddress));
        assertEquals(
                1,
                first.requests.stream()
                        .map(HttpTestConnection.Message::startLine)
                        .distinct()
                        .count());
    }

    @Test
    void overlappingReloadsRunInTurn() throws Exception {
        start(toml("127.0.0.1:0", first, ""));
        InetSocketAddress newAddress = freeAddress();
        write(toml(hostAndPort(newAddress), second, ""));
        edge.loop().execute(() -> {
            // The second reload begins before the first one has opened its new listener.
            edge.reload();
            edge.reload();
        });
        SidecarFixture.await("both reloads are done", () -> logged().split("configuration read again", -1).length == 3);
        assertFalse(logged().contains("configuration not reloaded"), logged());
        assertEquals("second", sendRequest(newAddress).body());
        InetSocketAddress later = freeAddress();
        write(toml(hostAndPort(later), first, ""));
        edge.reload();
        SidecarFixture.await(
                "the third reload is done", () -> logged().split("configuration read again", -1).length == 4);
        assertEquals("first", sendRequest(later).body());
        assertThrows(IOException.class, () -> sendRequest(newAddress), "the former listener is closed");
    }

    @Test
    void reloadWithTakenListenerAddressChangesNothing() throws Exception {
        start(toml("127.0.0.1:0", first, ""));
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            reload(toml("127.0.0.1:" + other.getLocalPort(), second, ""), "cannot listen on");
            assertTrue(logged().contains("configuration not reloaded, or only in part"), logged());
            assertEquals("first", sendRequest(edge.address()).body());
            // One of two new listener addresses is free, and still nothing is applied.
            InetSocketAddress free = freeAddress();
            reload(
                    toml(
                            hostAndPort(free),
                            second,
                            "[[listeners]]\naddress = \"127.0.0.1:" + other.getLocalPort() + "\""),
                    "cannot listen on /127.0.0.1:" + other.getLocalPort());
            assertEquals("first", sendRequest(edge.address()).body());
            SidecarFixture.await("the other listener is closed again", () -> {
                try {
                    HttpTestConnection.to(free).close();
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
        }
    }

    @Test
    void truncatedOrMissingFileChangesNothing() throws Exception {
        String text = toml("127.0.0.1:0", first, "");
        start(text);
        for (int end : new int[] {60, text.indexOf("[[classes]]"), 0}) {
            log.reset();
            reload(text.substring(0, end), "configuration not reloaded, or only in part");
            assertEquals("first", sendRequest(edge.address()).body());
        }
        log.reset();
        Files.delete(folder.resolve("own.toml"));
        edge.reload();
        SidecarFixture.await("the missing file is logged", () -> logged().contains("file not found"));
        assertEquals("first", sendRequest(edge.address()).body());
        reload(toml("127.0.0.1:0", second, ""), "configuration read again");
        assertEquals("second", sendRequest(edge.address()).body());
    }

    @Test
    void drainingEndpointGetsNoNewRequests() throws Exception {
        String both = "[[endpoints]]\nid = \"other\"\naddress = \"" + second.address() + "\"";
        start(toml("127.0.0.1:0", first, both + "\nstate = \"draining\""));
        for (int i = 0; i < 5; i++) {
            assertEquals("first", sendRequest(edge.address()).body());
        }
        String drained = toml("127.0.0.1:0", first, both)
                .replace(first.address() + "\"", first.address() + "\"\nstate = \"draining\"");
        reload(drained, "configuration read again");
        for (int i = 0; i < 5; i++) {
            assertEquals("second", sendRequest(edge.address()).body());
        }
    }

    /** Two processes of one sidecar, one with the old file and one with the new file, share their suspensions. */
    @Test
    void processesWithDifferentFilesShareSuspensions() throws Exception {
        String both = "[[endpoints]]\nid = \"other\"\naddress = \"" + second.address() + "\"";
        start(toml("127.0.0.1:0", first, both));
        Sidecar old = edge;
        try {
            start(toml("127.0.0.1:0", first, both + "\n[limits]\nattempts = 5\n[admin]\naddress = \"127.0.0.1:0\""));
            SidecarFixture.await(
                    "the old process has noticed the new one",
                    () -> logged().contains("another process of this sidecar is running"));
            try (HttpTestConnection connection = HttpTestConnection.to(edge.adminAddress())) {
                connection.send("PUT /v1/endpoints/other/suspend HTTP/1.1\r\nHost: x\r\n\r\n");
                assertEquals(200, connection.read().status());
            }
            SidecarFixture.await(
                    "the old process has applied the suspension",
                    () -> logged().contains("suspended by another process: [other]"));
            for (int i = 0; i < 5; i++) {
                assertEquals("first", sendRequest(old.address()).body());
                assertEquals("first", sendRequest(edge.address()).body());
            }
        } finally {
            old.stop();
        }
    }

    /** Guards against a full pipe that blocks the sidecar: no process reads the log, and requests are still served. */
    @Test
    void unreadLogDoesNotBlockRequests() throws Exception {
        CountDownLatch testFinished = new CountDownLatch(1);
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                try {
                    testFinished.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        };
        BoundedSink sink = new BoundedSink(new TextSink(new PrintStream(blocked, true)), 16);
        sink.setLevel("lemonrail", Severity.DEBUG);
        start(toml("127.0.0.1:0", first, ""), sink);
        for (int i = 0; i < 40; i++) {
            assertEquals("first", sendRequest(edge.address()).body());
        }
        assertTrue(sink.dropped() > 0, "log entries beyond the queue's limit were dropped");
        assertFalse(logged().contains("lemonrail"));
        testFinished.countDown();
        sink.close();
    }

    @Test
    void adminApiChangesLogLevels() throws Exception {
        start(toml("127.0.0.1:0", first, "[admin]\naddress = \"127.0.0.1:0\""));
        sendRequest(edge.address());
        assertFalse(logged().contains("attempt_ended"), logged());
        for (String call : new String[] {
            "PUT /v1/loggers/lemonrail.exchange/debug=200",
            "PUT /v1/loggers/lemonrail.exchange/loud=404",
            "PUT /v1/loggers/io.netty/debug=404",
            "POST /v1/loggers/lemonrail/info=405"
        }) {
            try (HttpTestConnection connection = HttpTestConnection.to(edge.adminAddress())) {
                connection.send(call.split("=")[0] + " HTTP/1.1\r\nHost: x\r\n\r\n");
                assertEquals(
                        Integer.parseInt(call.split("=")[1]), connection.read().status(), call);
            }
        }
        sendRequest(edge.address());
        SidecarFixture.await(
                "the end of the attempt is logged",
                () -> logged().contains("attempt_ended request_id=r1 class=read endpoint=e-" + first.port()
                        + " attempt=0 outcome=ok took_ms="));
    }
}
