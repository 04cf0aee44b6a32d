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

/** An edge that runs by the operators' file alone: no platform, no discovery. */
@Timeout(60)
class OwnFileTest {

    private static final String REQUEST =
            "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\n" + "X-Class: read\r\nX-Deadline-Ms: 4000\r\n\r\n";

    @TempDir
    Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final StubEndpoint first = StubEndpoint.respondingWith(200, "", "first");
    private final StubEndpoint second = StubEndpoint.respondingWith(200, "", "second");
    private Sidecar edge;
    private int requests;

    OwnFileTest() throws IOException {
        // The fakes stand before each test.
    }

    @AfterEach
    void stop() throws IOException {
        if (edge != null) {
            edge.stop();
        }
        first.close();
        second.close();
    }

    private String text(String listener, StubEndpoint endpoint, String more) {
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

    private HttpTestConnection.Message ask(InetSocketAddress at) throws IOException {
        try (HttpTestConnection wire = HttpTestConnection.to(at)) {
            return wire.send(REQUEST.formatted("r" + requests++)).read();
        }
    }

    private void reload(String text, String said) throws Exception {
        write(text);
        edge.reload();
        SidecarFixture.await(said, () -> logged().contains(said));
    }

    private String logged() {
        return log.toString(StandardCharsets.UTF_8);
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static String plain(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    @Test
    void reloadAppliesEndpointsAndListenersAndNamesOtherChanges() throws Exception {
        start(text("127.0.0.1:0", first, ""));
        InetSocketAddress before = edge.address();
        assertEquals("first", ask(before).body());
        InetSocketAddress now = free();
        HttpTestConnection kept = HttpTestConnection.to(before);
        assertEquals("first", kept.send(REQUEST.formatted("kept")).read().body());
        reload(
                text(plain(now), second, "[limits]\nattempts = 5"),
                "changed keys that take effect only after a restart: [limits.attempts]");
        assertEquals("second", ask(now).body());
        kept.awaitEnd();
        assertThrows(IOException.class, () -> ask(before));
        assertEquals(
                1,
                first.requests.stream()
                        .map(HttpTestConnection.Message::line)
                        .distinct()
                        .count());
    }

    @Test
    void overlappingReloadsRunInTurn() throws Exception {
        start(text("127.0.0.1:0", first, ""));
        InetSocketAddress now = free();
        write(text(plain(now), second, ""));
        edge.loop().execute(() -> {
            // The second comes before the new listener of the first is open.
            edge.reload();
            edge.reload();
        });
        SidecarFixture.await("both are done", () -> logged().split("configuration read again", -1).length == 3);
        assertFalse(logged().contains("configuration not reloaded"), logged());
        assertEquals("second", ask(now).body());
        InetSocketAddress later = free();
        write(text(plain(later), first, ""));
        edge.reload();
        SidecarFixture.await("the third is done", () -> logged().split("configuration read again", -1).length == 4);
        assertEquals("first", ask(later).body());
        assertThrows(IOException.class, () -> ask(now), "nobody listens there any more");
    }

    @Test
    void reloadWithTakenListenerAddressChangesNothing() throws Exception {
        start(text("127.0.0.1:0", first, ""));
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            reload(text("127.0.0.1:" + other.getLocalPort(), second, ""), "cannot listen on");
            assertTrue(logged().contains("configuration not reloaded, the previous one stays in effect"), logged());
            assertEquals("first", ask(edge.address()).body());
            // Half of what is new would do: it is not taken up either.
            InetSocketAddress free = free();
            reload(
                    text(plain(free), second, "[[listeners]]\naddress = \"127.0.0.1:" + other.getLocalPort() + "\""),
                    "cannot listen on /127.0.0.1:" + other.getLocalPort());
            assertEquals("first", ask(edge.address()).body());
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
        String text = text("127.0.0.1:0", first, "");
        start(text);
        for (int end : new int[] {60, text.indexOf("[[classes]]"), 0}) {
            log.reset();
            reload(text.substring(0, end), "configuration not reloaded, the previous one stays in effect");
            assertEquals("first", ask(edge.address()).body());
        }
        log.reset();
        Files.delete(folder.resolve("own.toml"));
        edge.reload();
        SidecarFixture.await("it is told", () -> logged().contains("file not found"));
        assertEquals("first", ask(edge.address()).body());
        reload(text("127.0.0.1:0", second, ""), "configuration read again");
        assertEquals("second", ask(edge.address()).body());
    }

    @Test
    void drainingEndpointGetsNoNewRequests() throws Exception {
        String both = "[[endpoints]]\nid = \"other\"\naddress = \"" + second.address() + "\"";
        start(text("127.0.0.1:0", first, both + "\nstate = \"draining\""));
        for (int i = 0; i < 5; i++) {
            assertEquals("first", ask(edge.address()).body());
        }
        String drained = text("127.0.0.1:0", first, both)
                .replace(first.address() + "\"", first.address() + "\"\nstate = \"draining\"");
        reload(drained, "configuration read again");
        for (int i = 0; i < 5; i++) {
            assertEquals("second", ask(edge.address()).body());
        }
    }

    /** Two processes of one name, one by the old file and one by the new, share what operators did. */
    @Test
    void processesWithDifferentFilesShareSuspensions() throws Exception {
        String both = "[[endpoints]]\nid = \"other\"\naddress = \"" + second.address() + "\"";
        start(text("127.0.0.1:0", first, both));
        Sidecar old = edge;
        try {
            start(text("127.0.0.1:0", first, both + "\n[limits]\nattempts = 5\n[admin]\naddress = \"127.0.0.1:0\""));
            SidecarFixture.await(
                    "the old one has noticed", () -> logged().contains("another process of this sidecar is running"));
            try (HttpTestConnection wire = HttpTestConnection.to(edge.adminAddress())) {
                wire.send("PUT /v1/endpoints/other/suspend HTTP/1.1\r\nHost: x\r\n\r\n");
                assertEquals(200, wire.read().status());
            }
            SidecarFixture.await("the old one heard", () -> logged().contains("suspended by another process: [other]"));
            for (int i = 0; i < 5; i++) {
                assertEquals("first", ask(old.address()).body());
                assertEquals("first", ask(edge.address()).body());
            }
        } finally {
            old.stop();
        }
    }

    /** Guards against a full pipe that stops the edge: nobody reads the log, and requests are served. */
    @Test
    void unreadLogDoesNotBlockRequests() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        OutputStream stuck = new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                try {
                    never.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        };
        BoundedSink sink = new BoundedSink(new TextSink(new PrintStream(stuck, true)), 16);
        sink.setLevel("lemonrail", Severity.DEBUG);
        start(text("127.0.0.1:0", first, ""), sink);
        for (int i = 0; i < 40; i++) {
            assertEquals("first", ask(edge.address()).body());
        }
        assertTrue(sink.dropped() > 0, "more was told than may wait");
        assertFalse(logged().contains("lemonrail"));
        never.countDown();
        sink.close();
    }

    @Test
    void adminApiChangesLogLevels() throws Exception {
        start(text("127.0.0.1:0", first, "[admin]\naddress = \"127.0.0.1:0\""));
        ask(edge.address());
        assertFalse(logged().contains("attempt_ended"), logged());
        for (String call : new String[] {
            "PUT /v1/loggers/lemonrail.exchange/debug=200",
            "PUT /v1/loggers/lemonrail.exchange/loud=404",
            "PUT /v1/loggers/io.netty/debug=404",
            "POST /v1/loggers/lemonrail/info=405"
        }) {
            try (HttpTestConnection wire = HttpTestConnection.to(edge.adminAddress())) {
                wire.send(call.split("=")[0] + " HTTP/1.1\r\nHost: x\r\n\r\n");
                assertEquals(Integer.parseInt(call.split("=")[1]), wire.read().status(), call);
            }
        }
        ask(edge.address());
        SidecarFixture.await(
                "it tells all",
                () -> logged().contains("attempt_ended request_id=r1 class=read endpoint=e-" + first.port()
                        + " attempt=0 outcome=ok took_ms="));
    }
}
