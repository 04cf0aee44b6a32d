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

/** Large request and response bodies are forwarded completely, with backpressure and without being stored. */
@Timeout(120)
class StreamingTest {

    private static final int DEADLINE_MS = 8000;
    /** If nothing is read from an endpoint for this time, backpressure is in effect. */
    private static final int BACKPRESSURE_PAUSE_MS = 200;

    private static final int CHUNKS_READ = 64;
    private static final int LARGE_BYTES = 3_000_000;
    private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static byte[] random(int bytes) {
        byte[] body = new byte[bytes];
        new Random(bytes).nextBytes(body);
        return body;
    }

    private static String digest(byte[] body) throws Exception {
        return Arrays.toString(MessageDigest.getInstance("SHA-256").digest(body));
    }

    private String head(String requestClass, String framing) {
        return fixture.request(requestClass, DEADLINE_MS)
                        .split("Content-Length")[0]
                        .replaceAll("\r\n\r\n$", "\r\n") + framing + "\r\n\r\n";
    }

    /** Writes a body in chunks of the given size, followed by a trailer. */
    private static void writeChunked(OutputStream out, byte[] body, int chunk) throws IOException {
        for (int from = 0; from < body.length; from += chunk) {
            int size = Math.min(chunk, body.length - from);
            out.write((Integer.toHexString(size) + ";x=y\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(body, from, size);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        out.write("0\r\nX-Sum: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Creates an endpoint that responds to each request with the digest of its body. */
    private static StubEndpoint digesting() throws IOException {
        return new StubEndpoint(
                (connection, request) -> StubEndpoint.respond(connection, 200, "", digest(request.bytes())));
    }

    // ---- responses ----

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
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n"
                            + (chunk == 0 ? "Content-Length: " + body.length : "Transfer-Encoding: chunked")
                            + "\r\n\r\n");
                    framed.writeTo(connection.socket.getOutputStream());
                }))
                .start();
        try (HttpTestConnection client = fixture.client()) {
            for (int i = 0; i < 2; i++) {
                HttpTestConnection.Message response =
                        client.send(fixture.request("read", DEADLINE_MS)).read();
                assertEquals(200, response.status());
                assertEquals("text/x", response.headers().get("content-type"));
                assertArrayEquals(body, response.bytes());
                fixture.awaitReusableConnections();
            }
        }
        assertEquals(1, fixture.endpoints.get(0).connections.get(), "the connection to the endpoint is reused");
    }

    /** Guards against responses that are forwarded only once they are complete. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 100000", "Transfer-Encoding: chunked"})
    void firstBytesAreForwardedAtOnce(String framing) throws Exception {
        CountDownLatch firstReceived = new CountDownLatch(1);
        boolean chunked = framing.startsWith("T");
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send(
                            "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + (chunked ? "5\r\nfirst\r\n" : "first"));
                    firstReceived.await();
                    connection.send(chunked ? "4\r\nrest\r\n0\r\n\r\n" : "x".repeat(99_995));
                }))
                .start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS));
            InputStream in = client.in;
            StringBuilder received = new StringBuilder();
            while (!received.toString().contains("first")) {
                received.append((char) in.read());
            }
            firstReceived.countDown();
            while (!received.toString().endsWith(chunked ? "rest\r\n0\r\n\r\n" : "xxxxxx")) {
                received.append((char) in.read());
            }
        }
    }

    /** A slow client slows the endpoint down, and few bytes are buffered whatever the size of the response is. */
    @Test
    void slowClientExertsBackpressureOnTheEndpoint() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        byte[] piece = random(64 * 1024);
        int pieces = MAX_BODY_BYTES / piece.length;
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.socket.setSendBufferSize(64 * 1024);
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + MAX_BODY_BYTES + "\r\n\r\n");
                    for (int i = 0; i < pieces; i++) {
                        connection.socket.getOutputStream().write(piece);
                        sent.incrementAndGet();
                    }
                }))
                .start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS));
            int[] previous = {-1};
            SidecarFixture.await("the endpoint is blocked by backpressure", () -> {
                int now = sent.get();
                boolean blocked = now > 0 && now == previous[0];
                previous[0] = now;
                pause(200);
                return blocked;
            });
            assertTrue(sent.get() < pieces, "endpoint has sent " + sent + " of " + pieces);
            HttpTestConnection.Message response = client.read();
            assertEquals(MAX_BODY_BYTES, response.bytes().length);
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
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + part);
                    connection.close();
                }))
                .start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            assertThrows(IOException.class, client::read);
        }
        SidecarFixture.await("the request is counted as failed", () -> metrics().contains("replies.order.error=1\n"));
        assertTrue(metrics().contains("concurrent=0\n"), metrics());
        assertEquals(1, fixture.attempts());
    }

    private String metrics() {
        try {
            return fixture.callAdmin("GET", "/v1/metrics").body();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Guards against a response truncated within a chunk, which a client cannot tell from a malformed one: all bytes
     * received from the endpoint are forwarded first.
     */
    @Test
    void responseIsTruncatedBetweenChunks() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        AtomicReference<HttpTestConnection> endpoint = new AtomicReference<>();
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
            endpoint.set(connection);
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                connection.send("4000\r\n" + "x".repeat(0x4000) + "\r\n");
                sent.incrementAndGet();
            }
        }));
        fixture.start();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 * 1024);
            socket.connect(fixture.sidecar.address());
            HttpTestConnection client = new HttpTestConnection(socket);
            client.send(fixture.request("read", DEADLINE_MS));
            assertEquals("chunked", client.readHead().headers().get("transfer-encoding"));
            for (int before = -1; before != sent.get(); ) {
                before = sent.get();
                pause(BACKPRESSURE_PAUSE_MS);
            }
            endpoint.get().reset();
            // Once the client reads, the sidecar reads on and notices that the endpoint has disconnected.
            for (int i = 0; i < CHUNKS_READ; i++) {
                assertTrue(readChunk(client), "chunk " + i);
            }
            SidecarFixture.await(
                    "the request is counted as failed", () -> metrics().contains("replies.read.error=1\n"));
            while (readChunk(client)) {
                continue;
            }
        }
    }

    /** Reads a chunk. Returns false at the end of the connection, which must not come within a chunk. */
    private static boolean readChunk(HttpTestConnection client) throws IOException {
        String size = readLine(client);
        if (size != null) {
            int bytes = Integer.parseInt(size, 16);
            assertEquals(bytes, client.in.readNBytes(bytes).length, "truncated within a chunk");
            assertEquals("", readLine(client), "line after a chunk");
        }
        return size != null;
    }

    /** Reads a line. Returns null at the end of the connection. */
    private static String readLine(HttpTestConnection connection) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = connection.in.read(); b != '\n'; b = connection.in.read()) {
            if (b < 0) {
                assertEquals("", line.toString(), "truncated within a line");
                return null;
            }
            line.append(b == '\r' ? "" : (char) b);
        }
        return line.toString();
    }

    @Test
    void clientDisconnectClosesTheEndpointConnection() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\nfirst");
                    connection.awaitEnd();
                }))
                .start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS));
            assertTrue(client.in.read() >= 0);
        }
        SidecarFixture.await(
                "the endpoint's connection is closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
        SidecarFixture.await("no request is in flight", () -> metrics().contains("concurrent=0\n"));
    }

    // ---- request bodies ----

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
        fixture = new SidecarFixture(digesting()).start();
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
        try (HttpTestConnection client = fixture.client()) {
            OutputStream out = client.socket.getOutputStream();
            for (int from = 0; from < all.length; from += piece == 0 ? all.length : piece) {
                out.write(all, from, Math.min(piece == 0 ? all.length : piece, all.length - from));
            }
            assertEquals(digest(body), client.read().body());
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status(),
                    "the connection still serves requests");
        }
    }

    @Test
    void expectContinueGetsAnInterimResponse() throws Exception {
        fixture = new SidecarFixture(digesting()).start();
        byte[] body = random(LARGE_BYTES);
        try (HttpTestConnection client = fixture.client()) {
            client.send(head("order", "Expect: 100-continue\r\nContent-Length: " + body.length));
            assertEquals(100, client.read().status());
            client.socket.getOutputStream().write(body);
            assertEquals(digest(body), client.read().body());
        }
    }

    /** Guards against a time-out that a slow client cannot meet: 64 kB per second are sufficient. */
    @Test
    void slowHeadAndSlowBodyAreAccepted() throws Exception {
        fixture = new SidecarFixture(digesting()).start();
        byte[] body = random(250_000);
        try (HttpTestConnection client = fixture.client()) {
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
        fixture = new SidecarFixture(digesting()).start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(head("order", "Content-Length: 1000000") + "x".repeat(70_000));
            assertEquals(408, client.read().status());
            client.awaitEnd();
        }
        SidecarFixture.await(
                "the endpoint's connection is closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
        assertEquals(0, fixture.attempts());
        assertEquals(200, fixture.sendRequest("read", DEADLINE_MS).status());
    }

    /** An overloaded endpoint rejects early: the part of the body sent so far is still buffered for another one. */
    @Test
    void requestIsRetriedWhileItsSentBodyIsStillBuffered() throws Exception {
        byte[] body = random(100_000);
        CountDownLatch rejected = new CountDownLatch(1);
        StubEndpoint.ConnectionHandler overloaded = connection -> {
            connection.readHead();
            StubEndpoint.respond(connection, 503, "X-Not-Run: 1\r\n", "");
            rejected.countDown();
            connection.awaitEnd();
        };
        AtomicInteger attempts = new AtomicInteger();
        StubEndpoint.ConnectionHandler firstOverloaded = connection -> {
            if (attempts.getAndIncrement() == 0) {
                overloaded.handle(connection);
            } else {
                HttpTestConnection.Message request = connection.read();
                StubEndpoint.respond(connection, 200, "", digest(request.bytes()));
            }
        };
        fixture = new SidecarFixture(new StubEndpoint(firstOverloaded), new StubEndpoint(firstOverloaded)).start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(head("order", "Content-Length: " + body.length));
            OutputStream out = client.socket.getOutputStream();
            out.write(body, 0, 65_536);
            // One more byte makes the body a large one, which is discarded only once an endpoint receives it.
            sendRestAfterRejection(out, body, rejected);
            HttpTestConnection.Message response = client.read();
            assertTrue(
                    (response.status() == 200 && response.body().equals(digest(body))) || response.status() == 503,
                    response.startLine());
        }
    }

    private static void sendRestAfterRejection(OutputStream out, byte[] body, CountDownLatch rejected)
            throws Exception {
        out.write(body, 65_536, 1);
        rejected.await();
        out.write(body, 65_537, body.length - 65_537);
    }

    /** Discarded bytes cannot be sent again, so that an idempotent request fails at once as well. */
    @Test
    void requestIsNotRetriedOnceBodyBytesAreDiscarded() throws Exception {
        byte[] body = random(MAX_BODY_BYTES);
        StubEndpoint.ConnectionHandler resetting = connection -> {
            connection.readHead();
            connection.in.readNBytes(4_000_000);
            connection.reset();
        };
        fixture = new SidecarFixture(new StubEndpoint(resetting), new StubEndpoint(resetting)).start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(head("order", "Content-Length: " + body.length));
            Thread sender = new Thread(() -> {
                try {
                    client.socket.getOutputStream().write(body);
                } catch (IOException e) {
                    // As expected, the sidecar reads no more of the body.
                    return;
                }
            });
            sender.start();
            HttpTestConnection.Message response = client.read();
            assertEquals(503, response.status(), "the request was not executed");
            assertEquals("close", response.headers().get("connection"));
            sender.join();
        }
        assertEquals(
                1,
                fixture.endpoints.stream()
                        .mapToInt(endpoint -> endpoint.connections.get())
                        .sum());
    }

    // ---- memory ----

    /** Many large responses at once to clients that do not read yet all arrive complete within the buffer budget. */
    @Test
    void concurrentLargeResponsesShareTheBufferBudget() throws Exception {
        byte[] body = random(LARGE_BYTES);
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                    connection.socket.getOutputStream().write(body);
                }))
                .start();
        int count = 40;
        HttpTestConnection[] clients = new HttpTestConnection[count];
        for (int i = 0; i < count; i++) {
            clients[i] = fixture.client();
            clients[i].send(fixture.request("read", DEADLINE_MS));
        }
        int served = 0;
        for (HttpTestConnection client : clients) {
            HttpTestConnection.Message response = client.read();
            if (response.status() == 200) {
                assertArrayEquals(body, response.bytes());
                served++;
            }
            client.close();
        }
        assertTrue(served > 0, "the load balancer admits some requests");
    }
}
