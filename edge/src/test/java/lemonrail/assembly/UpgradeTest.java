package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** An upgrade under load: two sidecar processes share one address, and the older one stops. */
@Timeout(60)
class UpgradeTest {

    private static final int DEADLINE_MS = 8000;
    private static final int CLIENTS = 8;

    @TempDir
    Path folder;

    private final List<Process> processes = new ArrayList<>();
    private final SidecarFixture fixture = new SidecarFixture(
            StubEndpoint.respondingWith(200, "", "first"), StubEndpoint.respondingWith(200, "", "second"));
    /** A socket that is bound but does not listen. It reserves the port that the processes share. */
    private SocketChannel reservation;

    private InetSocketAddress address;

    UpgradeTest() throws IOException {
        // The fixture and its stub endpoints are created for each test.
    }

    @BeforeEach
    void reserve() throws IOException {
        reservation = SocketChannel.open();
        reservation.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        reservation.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        address = (InetSocketAddress) reservation.getLocalAddress();
    }

    @AfterEach
    void stop() throws IOException {
        processes.forEach(Process::destroyForcibly);
        reservation.close();
        fixture.close();
    }

    private SidecarChildProcess serve() throws Exception {
        Path file = Files.writeString(
                folder.resolve("config.json"),
                fixture.config()
                        .replace(
                                "\"listen\":\"127.0.0.1:0\"",
                                "\"listen\":\"127.0.0.1:" + address.getPort() + "\",\"mgmt\":\"127.0.0.1:0\""));
        SidecarChildProcess sidecar = SidecarChildProcess.start(file, folder);
        processes.add(sidecar.process);
        return sidecar;
    }

    /** Sends requests one after another, and reconnects as clients do if the connection was closed between requests. */
    private final class Client extends Thread {
        private final AtomicBoolean running;
        private final AtomicInteger served;
        private final List<String> failures;

        Client(AtomicBoolean running, AtomicInteger served, List<String> failures) {
            super("client");
            this.running = running;
            this.served = served;
            this.failures = failures;
            setDaemon(true);
        }

        @Override
        public void run() {
            try {
                while (running.get()) {
                    try (HttpTestConnection connection = HttpTestConnection.to(address)) {
                        boolean open = true;
                        while (running.get() && open) {
                            String request;
                            synchronized (fixture) {
                                request = fixture.request("read", DEADLINE_MS);
                            }
                            HttpTestConnection.Message response =
                                    connection.send(request).read();
                            if (response.status() != 200) {
                                failures.add(response.startLine());
                            }
                            served.incrementAndGet();
                            open = !"close".equals(response.headers().get("connection"));
                        }
                    }
                }
            } catch (IOException e) {
                failures.add(e.toString());
            }
        }
    }

    @Test
    void noRequestIsLostDuringAnUpgrade() throws Exception {
        SidecarChildProcess old = serve();
        AtomicBoolean running = new AtomicBoolean(true);
        AtomicInteger served = new AtomicInteger();
        List<String> failures = new CopyOnWriteArrayList<>();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(running, served, failures));
            clients.get(i).start();
        }
        SidecarFixture.await("clients are served", () -> served.get() > CLIENTS);
        SidecarChildProcess current = serve();
        old.awaitLine("another process of this sidecar is running");
        old.process.toHandle().destroy();
        assertEquals(0, old.process.waitFor(), "" + old.log);
        old.awaitLine("stopping, another process of this sidecar takes over");
        old.awaitLine("all connections are closed");
        int before = served.get();
        SidecarFixture.await("the new process serves", () -> served.get() > before + CLIENTS);
        running.set(false);
        for (Client client : clients) {
            client.join();
        }
        assertEquals(List.of(), failures);
        current.awaitLine("the other process of this sidecar has ended: full connection limits restored");
    }

    /** Guards against a new process that uses an endpoint which operators suspended before it started. */
    @Test
    void suspensionsAreHandedOver() throws Exception {
        Files.writeString(folder.resolve("n0.suspended"), "suspended endpoints\ns0\nin all: 1\n");
        SidecarChildProcess old = serve();
        serve();
        old.process.toHandle().destroy();
        old.process.waitFor();
        for (int i = 0; i < CLIENTS; i++) {
            try (HttpTestConnection connection = HttpTestConnection.to(address)) {
                assertEquals(
                        "second",
                        connection
                                .send(fixture.request("read", DEADLINE_MS))
                                .read()
                                .body());
            }
        }
    }
}
