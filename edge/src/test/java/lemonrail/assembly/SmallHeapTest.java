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

/** Request and response bodies larger than the heap of the process that forwards them, several at once. */
@Timeout(60)
class SmallHeapTest {

    private static final int BYTES = 32 * 1024 * 1024;
    private static final int DEADLINE_MS = 8000;
    private static final int CLIENTS = 4;

    @TempDir
    Path folder;

    private final AtomicInteger received = new AtomicInteger();
    private final SidecarFixture rig = new SidecarFixture(
            new StubEndpoint((StubEndpoint.ConnectionHandler) this::serve),
            new StubEndpoint((StubEndpoint.ConnectionHandler) this::serve));
    private SidecarChildProcess served;

    SmallHeapTest() throws IOException {
        // The fakes are created before each test.
    }

    @BeforeEach
    void start() throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), rig.config());
        served = SidecarChildProcess.start(file, folder, "-Xmx20m", "-XX:MaxDirectMemorySize=8m");
    }

    @AfterEach
    void stop() throws IOException {
        served.process.destroyForcibly();
        rig.close();
    }

    /** Reads a large body without keeping it, and sends a large response. */
    private void serve(HttpTestConnection wire) throws IOException {
        HttpTestConnection.Message head = wire.readHead();
        int left = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        while (left > 0) {
            long skipped = wire.in.skip(left);
            if (skipped == 0 && wire.in.read() < 0) {
                return;
            }
            left -= (int) Math.max(1, skipped);
        }
        received.incrementAndGet();
        wire.send("HTTP/1.1 200 OK\r\nContent-Length: " + BYTES + "\r\n\r\n");
        byte[] piece = new byte[64 * 1024];
        for (int sent = 0; sent < BYTES; sent += piece.length) {
            wire.socket.getOutputStream().write(piece);
        }
    }

    @Test
    void largeBodiesAreForwardedWhole() throws Exception {
        List<Thread> clients = new ArrayList<>();
        AtomicInteger whole = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            String head = rig.request("order", DEADLINE_MS).split("Content-Length")[0] + "Content-Length: " + BYTES
                    + "\r\n\r\n";
            Thread client = new Thread(() -> ask(head, whole), "client");
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(CLIENTS, whole.get(), "" + served.log);
        assertEquals(CLIENTS, received.get());
        assertTrue(served.process.isAlive());
        assertFalse(served.hasLogged("OutOfMemory"), "" + served.log);
    }

    private void ask(String head, AtomicInteger whole) {
        try (HttpTestConnection client = HttpTestConnection.to(served.address())) {
            client.socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            client.socket.getOutputStream().write(new byte[BYTES]);
            HttpTestConnection.Message response = client.read();
            if (response.status() == 200 && response.bytes().length == BYTES) {
                whole.incrementAndGet();
            }
        } catch (IOException e) {
            // Not counted as whole.
            return;
        }
    }
}
