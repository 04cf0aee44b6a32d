package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Concurrent request and response bodies that are larger than the heap of the sidecar process. */
@Timeout(60)
class SmallHeapTest {

    private static final int BODY_BYTES = 32 * 1024 * 1024;
    private static final int DEADLINE_MS = 8000;
    private static final int CLIENTS = 4;

    @TempDir
    Path folder;

    private final AtomicInteger received = new AtomicInteger();
    private final SidecarFixture fixture = new SidecarFixture(
            new StubEndpoint((StubEndpoint.ConnectionHandler) this::serve),
            new StubEndpoint((StubEndpoint.ConnectionHandler) this::serve));
    private SidecarChildProcess sidecar;

    SmallHeapTest() throws IOException {
        // The stub endpoints are created for each test.
    }

    @BeforeEach
    void start() throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), fixture.config());
        sidecar = SidecarChildProcess.start(file, folder, "-Xmx20m", "-XX:MaxDirectMemorySize=8m");
    }

    @AfterEach
    void stop() throws IOException {
        sidecar.process.destroyForcibly();
        fixture.close();
    }

    /** Reads and discards the request body, and sends a large response. */
    private void serve(HttpTestConnection connection) throws IOException {
        HttpTestConnection.Message head = connection.readHead();
        int remaining = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        while (remaining > 0) {
            long skipped = connection.in.skip(remaining);
            if (skipped == 0 && connection.in.read() < 0) {
                return;
            }
            remaining -= (int) Math.max(1, skipped);
        }
        received.incrementAndGet();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
        byte[] part = new byte[64 * 1024];
        for (int sent = 0; sent < BODY_BYTES; sent += part.length) {
            connection.socket.getOutputStream().write(part);
        }
    }

    @Test
    void bodiesLargerThanTheHeapAreForwarded() throws Exception {
        List<Thread> clients = new ArrayList<>();
        AtomicInteger complete = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            String head = fixture.uploadHead(DEADLINE_MS, BODY_BYTES);
            Thread client = new Thread(() -> sendRequest(head, complete), "client");
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(CLIENTS, complete.get(), "" + sidecar.log);
        assertEquals(CLIENTS, received.get());
        assertTrue(sidecar.process.isAlive());
        assertFalse(sidecar.hasLogged("OutOfMemory"), "" + sidecar.log);
    }

    private void sendRequest(String head, AtomicInteger complete) {
        try (HttpTestConnection client = HttpTestConnection.to(sidecar.address())) {
            client.socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            client.socket.getOutputStream().write(new byte[BODY_BYTES]);
            HttpTestConnection.Message response = client.read();
            if (response.status() == 200 && response.bytes().length == BODY_BYTES) {
                complete.incrementAndGet();
            }
        } catch (IOException e) {
            // Not counted as complete.
            return;
        }
    }
}
