package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Large bodies both ways: passed through whole, at the pace of the slower side, never kept. */
@Timeout(120)
class StreamingTest {

    private static final int DEADLINE_MS = 8000;
    /** If nothing was read from an endpoint for so long, backpressure is in effect. */
    private static final int HELD_BACK_MS = 200;

    private static final int TAKEN_CHUNKS = 64;
    private static final int LARGE_BYTES = 3_000_000;
    private static final int MOST_BYTES = 32 * 1024 * 1024;

    private SidecarFixture rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private static byte[] random(int bytes) {
        byte[] body = new byte[bytes];
        new Random(bytes).nextBytes(body);
        return body;
    }

    private static String digest(byte[] body) throws Exception {
        return Arrays.toString(MessageDigest.getInstance("SHA-256").digest(body));
    }

    private String head(String kind, String framing) {
        return rig.request(kind, DEADLINE_MS).split("Content-Length")[0].replaceAll("\r\n\r\n$", "\r\n") + framing
                + "\r\n\r\n";
    }

    /** Writes a body in chunks of this size, and a trailer behind it. */
    private static void writeChunked(OutputStream out, byte[] body, int chunk) throws IOException {
        for (int from = 0; from < body.length; from += chunk) {
            int size = Math.min(chunk, body.length - from);
            out.write((Integer.toHexString(size) + ";x=y\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(body, from, size);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        out.write("0\r\nX-Sum: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** An endpoint that answers each request with the digest of its body. */
    private static StubEndpoint digesting() throws IOException {
        return new StubEndpoint((wire, request) -> StubEndpoint.respond(wire, 200, "", digest(request.bytes())));
    }

    // ---- answers ----

    @ParameterizedTest
    @CsvSource({"65536, 0", "65537, 0", "65537, 100", "3000000, 0", "3000000, 1", "3000000, 70000", "33554432, 0"})
    void responseOfAnySizeIsForwardedUnchanged(int bytes, int chunk) throws Exception {
        byte[] body = random(chunk == 1 ? bytes / 10 : bytes);
        ByteArrayOutputStream framed = new ByteArrayOutputStream();
        if (chunk == 0) {
            framed.write(body);
        } else {
            writeChunked(framed, body, chunk);
        }
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.send("HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n"
                            + (chunk == 0 ? "Content-Length: " + body.length : "Transfer-Encoding: chunked")
                            + "\r\n\r\n");
                    framed.writeTo(wire.socket.getOutputStream());
                }))
                .start();
        try (HttpTestConnection client = rig.client()) {
            for (int i = 0; i < 2; i++) {
                HttpTestConnection.Message answer =
                        client.send(rig.request("read", DEADLINE_MS)).read();
                assertEquals(200, answer.status());
                assertEquals("text/x", answer.headers().get("content-type"));
                assertArrayEquals(body, answer.bytes());
                rig.settle();
            }
        }
        assertEquals(1, rig.endpoints.get(0).connections.get(), "its connection is kept");
    }

    /** The first bytes of a response arrive at once, while the endpoint still works on the rest. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 100000", "Transfer-Encoding: chunked"})
    void firstBytesAreForwardedAtOnce(String framing) throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        boolean chunked = framing.startsWith("T");
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.send("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + (chunked ? "5\r\nfirst\r\n" : "first"));
                    seen.await();
                    wire.send(chunked ? "4\r\nrest\r\n0\r\n\r\n" : "x".repeat(99_995));
                }))
                .start();
        try (HttpTestConnection client = rig.client()) {
            client.send(rig.request("read", DEADLINE_MS));
            InputStream in = client.in;
            StringBuilder got = new StringBuilder();
            while (!got.toString().contains("first")) {
                got.append((char) in.read());
            }
            seen.countDown();
            while (!got.toString().endsWith(chunked ? "rest\r\n0\r\n\r\n" : "xxxxxx")) {
                got.append((char) in.read());
            }
        }
    }

    /** A slow client slows the endpoint down; few bytes are buffered, whatever the size of the response. */
    @Test
    void slowClientExertsBackpressureOnTheEndpoint() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        byte[] piece = random(64 * 1024);
        int pieces = MOST_BYTES / piece.length;
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.socket.setSendBufferSize(64 * 1024);
                    wire.send("HTTP/1.1 200 OK\r\nContent-Length: " + MOST_BYTES + "\r\n\r\n");
                    for (int i = 0; i < pieces; i++) {
                        wire.socket.getOutputStream().write(piece);
                        sent.incrementAndGet();
                    }
                }))
                .start();
        try (HttpTestConnection client = rig.client()) {
            client.send(rig.request("read", DEADLINE_MS));
            int[] before = {-1};
            SidecarFixture.await("the endpoint stands still", () -> {
                int now = sent.get();
                boolean still = now > 0 && now == before[0];
                before[0] = now;
                pause(200);
                return still;
            });
            assertTrue(sent.get() < pieces, "it has sent " + sent + " of " + pieces);
            HttpTestConnection.Message answer = client.read();
            assertEquals(MOST_BYTES, answer.bytes().length);
        }
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 100000", "Transfer-Encoding: chunked"})
    void truncatedResponseIsDetectableByTheClient(String framing) throws Exception {
        String part = framing.startsWith("T") ? "18000\r\n" + "x".repeat(0x18000) + "\r\n" : "x".repeat(80_000);
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.send("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + part);
                    wire.close();
                }))
                .start();
        try (HttpTestConnection client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS));
            assertThrows(IOException.class, client::read);
        }
        SidecarFixture.await("it counts as failed", () -> figures().contains("replies.order.error=1\n"));
        assertTrue(figures().contains("concurrent=0\n"), figures());
        assertEquals(1, rig.attempts());
    }

    private String figures() {
        try {
            return rig.callAdmin("GET", "/v1/metrics").body();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Guards against a cut within a chunk, which a client cannot tell from noise: all that came goes first.
     */
    @Test
    void responseIsTruncatedBetweenChunks() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        AtomicReference<HttpTestConnection> endpoint = new AtomicReference<>();
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
            endpoint.set(wire);
            wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                wire.send("4000\r\n" + "x".repeat(0x4000) + "\r\n");
                sent.incrementAndGet();
            }
        }));
        rig.start();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 * 1024);
            socket.connect(rig.sidecar.address());
            HttpTestConnection client = new HttpTestConnection(socket);
            client.send(rig.request("read", DEADLINE_MS));
            assertEquals("chunked", client.readHead().headers().get("transfer-encoding"));
            for (int before = -1; before != sent.get(); ) {
                before = sent.get();
                pause(HELD_BACK_MS);
            }
            endpoint.get().reset();
            // Once the client takes something, the edge reads on and finds the endpoint gone.
            for (int i = 0; i < TAKEN_CHUNKS; i++) {
                assertTrue(readChunk(client), "chunk " + i);
            }
            SidecarFixture.await("it counts as failed", () -> figures().contains("replies.read.error=1\n"));
            while (readChunk(client)) {
                continue;
            }
        }
    }

    /** Reads a whole chunk; false at the connection's end, which must not come within one. */
    private static boolean readChunk(HttpTestConnection client) throws IOException {
        String size = line(client);
        if (size != null) {
            int bytes = Integer.parseInt(size, 16);
            assertEquals(bytes, client.in.readNBytes(bytes).length, "cut within a chunk");
            assertEquals("", line(client), "behind a chunk");
        }
        return size != null;
    }

    /** A line, or null at the connection's end. */
    private static String line(HttpTestConnection wire) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = wire.in.read(); b != '\n'; b = wire.in.read()) {
            if (b < 0) {
                assertEquals("", line.toString(), "cut within a line");
                return null;
            }
            line.append(b == '\r' ? "" : (char) b);
        }
        return line.toString();
    }

    @Test
    void clientDisconnectReleasesTheEndpoint() throws Exception {
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\nfirst");
                    wire.awaitEnd();
                }))
                .start();
        try (HttpTestConnection client = rig.client()) {
            client.send(rig.request("read", DEADLINE_MS));
            assertTrue(client.in.read() >= 0);
        }
        SidecarFixture.await(
                "the endpoint's connection is closed",
                () -> rig.endpoints.get(0).open.get() == 0);
        SidecarFixture.await("nothing is in hand", () -> figures().contains("concurrent=0\n"));
    }

    // ---- bodies ----

    @ParameterizedTest
    @CsvSource({
        "65536, 0, 0",
        "65537, 0, 0",
        "65537, 1000, 0",
        "3000000, 0, 1009",
        "3000000, 8000, 977",
        "100000, 1, 0",
        "33554432, 0, 0"
    })
    void requestBodyOfAnySizeIsForwardedUnchanged(int bytes, int chunk, int piece) throws Exception {
        rig = new SidecarFixture(digesting()).start();
        byte[] body = random(bytes);
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        if (chunk == 0) {
            message.writeBytes(head("order", "Content-Length: " + bytes).getBytes(StandardCharsets.ISO_8859_1));
            message.writeBytes(body);
        } else {
            message.writeBytes(head("order", "Transfer-Encoding: chunked").getBytes(StandardCharsets.ISO_8859_1));
            writeChunked(message, body, chunk);
        }
        byte[] all = message.toByteArray();
        try (HttpTestConnection client = rig.client()) {
            OutputStream out = client.socket.getOutputStream();
            for (int from = 0; from < all.length; from += piece == 0 ? all.length : piece) {
                out.write(all, from, Math.min(piece == 0 ? all.length : piece, all.length - from));
            }
            assertEquals(digest(body), client.read().body());
            assertEquals(
                    200, client.send(rig.request("read", DEADLINE_MS)).read().status(), "it goes on");
        }
    }

    @Test
    void expectContinueIsAnswered() throws Exception {
        rig = new SidecarFixture(digesting()).start();
        byte[] body = random(LARGE_BYTES);
        try (HttpTestConnection client = rig.client()) {
            client.send(head("order", "Expect: 100-continue\r\nContent-Length: " + body.length));
            assertEquals(100, client.read().status());
            client.socket.getOutputStream().write(body);
            assertEquals(digest(body), client.read().body());
        }
    }

    /** Guards against a timeout that a slow client cannot meet: 64 kB per second are enough. */
    @Test
    void slowHeadAndSlowBodyAreAccepted() throws Exception {
        rig = new SidecarFixture(digesting()).start();
        byte[] body = random(250_000);
        try (HttpTestConnection client = rig.client()) {
            String head = head("order", "Content-Length: " + body.length);
            for (int i = 0; i < 10; i++) {
                client.send(head.substring(head.length() * i / 10, head.length() * (i + 1) / 10));
                pause(180);
            }
            for (int from = 0; from < body.length; from += 6400) {
                client.socket.getOutputStream().write(body, from, Math.min(6400, body.length - from));
                pause(100);
            }
            assertEquals(digest(body), client.read().body());
        }
    }

    @Test
    void requestBodyThatStallsIsAborted() throws Exception {
        rig = new SidecarFixture(digesting()).start();
        try (HttpTestConnection client = rig.client()) {
            client.send(head("order", "Content-Length: 1000000") + "x".repeat(70_000));
            assertEquals(408, client.read().status());
            client.awaitEnd();
        }
        SidecarFixture.await(
                "the endpoint's connection is closed",
                () -> rig.endpoints.get(0).open.get() == 0);
        assertEquals(0, rig.attempts());
        assertEquals(200, rig.ask("read", DEADLINE_MS).status());
    }

    /** A full endpoint rejects early: the buffered part of the body can be sent to another one. */
    @Test
    void requestIsRetriedWhileItsSentBodyIsStillBuffered() throws Exception {
        byte[] body = random(100_000);
        CountDownLatch refused = new CountDownLatch(1);
        StubEndpoint.ConnectionHandler full = wire -> {
            wire.readHead();
            StubEndpoint.respond(wire, 503, "X-Not-Run: 1\r\n", "");
            refused.countDown();
            wire.awaitEnd();
        };
        AtomicInteger asked = new AtomicInteger();
        StubEndpoint.ConnectionHandler firstFull = wire -> {
            if (asked.getAndIncrement() == 0) {
                full.handle(wire);
            } else {
                HttpTestConnection.Message request = wire.read();
                StubEndpoint.respond(wire, 200, "", digest(request.bytes()));
            }
        };
        rig = new SidecarFixture(new StubEndpoint(firstFull), new StubEndpoint(firstFull)).start();
        try (HttpTestConnection client = rig.client()) {
            client.send(head("order", "Content-Length: " + body.length));
            OutputStream out = client.socket.getOutputStream();
            out.write(body, 0, 65_536);
            // One byte more is what makes it a large one, and is let go only with an endpoint to take it.
            rejectAfter(out, body, refused);
            HttpTestConnection.Message answer = client.read();
            assertTrue(
                    (answer.status() == 200 && answer.body().equals(digest(body))) || answer.status() == 503,
                    answer.line());
        }
    }

    private static void rejectAfter(OutputStream out, byte[] body, CountDownLatch refused) throws Exception {
        out.write(body, 65_536, 1);
        refused.await();
        out.write(body, 65_537, body.length - 65_537);
    }

    /** Discarded bytes cannot be sent again: an idempotent request fails at once as well. */
    @Test
    void requestIsNotRetriedOnceBodyBytesAreDiscarded() throws Exception {
        byte[] body = random(MOST_BYTES);
        StubEndpoint.ConnectionHandler breaking = wire -> {
            wire.readHead();
            wire.in.readNBytes(4_000_000);
            wire.reset();
        };
        rig = new SidecarFixture(new StubEndpoint(breaking), new StubEndpoint(breaking)).start();
        try (HttpTestConnection client = rig.client()) {
            client.send(head("order", "Content-Length: " + body.length));
            Thread sender = new Thread(() -> {
                try {
                    client.socket.getOutputStream().write(body);
                } catch (IOException e) {
                    // The sidecar takes no more of it, as it should.
                    return;
                }
            });
            sender.start();
            HttpTestConnection.Message answer = client.read();
            assertEquals(503, answer.status(), "it never ran");
            assertEquals("close", answer.headers().get("connection"));
            sender.join();
        }
        assertEquals(
                1,
                rig.endpoints.stream()
                        .mapToInt(endpoint -> endpoint.connections.get())
                        .sum());
    }

    // ---- memory ----

    /** Many large responses at once to clients that do not read yet: all arrive, and the memory is bounded. */
    @Test
    void concurrentLargeResponsesShareTheBufferBudget() throws Exception {
        byte[] body = random(LARGE_BYTES);
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                    wire.socket.getOutputStream().write(body);
                }))
                .start();
        int count = 40;
        HttpTestConnection[] clients = new HttpTestConnection[count];
        for (int i = 0; i < count; i++) {
            clients[i] = rig.client();
            clients[i].send(rig.request("read", DEADLINE_MS));
        }
        int served = 0;
        for (HttpTestConnection client : clients) {
            HttpTestConnection.Message answer = client.read();
            if (answer.status() == 200) {
                assertArrayEquals(body, answer.bytes());
                served++;
            }
            client.close();
        }
        assertTrue(served > 0, "the module takes some");
    }
}
