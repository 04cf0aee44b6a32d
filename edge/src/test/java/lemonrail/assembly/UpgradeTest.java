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

/** An upgrade under load: two real processes share one address, and the older one stops. */
@Timeout(60)
class UpgradeTest {

    private static final int DEADLINE_MS = 8000;
    private static final int CLIENTS = 8;

    @TempDir
    Path folder;

    private final List<Process> processes = new ArrayList<>();
    private final SidecarFixture rig = new SidecarFixture(
            StubEndpoint.respondingWith(200, "", "first"), StubEndpoint.respondingWith(200, "", "second"));
    /** Bound but not listening: it reserves the port for the processes, which share it. */
    private SocketChannel place;

    private InetSocketAddress address;

    UpgradeTest() throws IOException {
        // SidecarFixture and endpoints are created for each test.
    }

    @BeforeEach
    void reserve() throws IOException {
        place = SocketChannel.open();
        place.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        place.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        address = (InetSocketAddress) place.getLocalAddress();
    }

    @AfterEach
    void stop() throws IOException {
        processes.forEach(Process::destroyForcibly);
        place.close();
        rig.close();
    }

    private SidecarChildProcess serve() throws Exception {
        Path file = Files.writeString(
                folder.resolve("config.json"),
                rig.config()
                        .replace(
                                "\"listen\":\"127.0.0.1:0\"",
                                "\"listen\":\"127.0.0.1:" + address.getPort() + "\",\"mgmt\":\"127.0.0.1:0\""));
        SidecarChildProcess served = SidecarChildProcess.start(file, folder);
        processes.add(served.process);
        return served;
    }

    /** Sends requests one after another, and reconnects as clients do if the connection was closed between requests. */
    private final class Client extends Thread {
        private final AtomicBoolean on;
        private final AtomicInteger served;
        private final List<String> troubles;

        Client(AtomicBoolean on, AtomicInteger served, List<String> troubles) {
            super("client");
            this.on = on;
            this.served = served;
            this.troubles = troubles;
            setDaemon(true);
        }

        @Override
        public void run() {
            try {
                while (on.get()) {
                    try (HttpTestConnection wire = HttpTestConnection.to(address)) {
                        boolean kept = true;
                        while (on.get() && kept) {
                            String request;
                            synchronized (rig) {
                                request = rig.request("read", DEADLINE_MS);
                            }
                            HttpTestConnection.Message answer =
                                    wire.send(request).read();
                            if (answer.status() != 200) {
                                troubles.add(answer.line());
                            }
                            served.incrementAndGet();
                            kept = !"close".equals(answer.headers().get("connection"));
                        }
                    }
                }
            } catch (IOException e) {
                troubles.add(e.toString());
            }
        }
    }

    @Test
    void noRequestIsLostDuringAnUpgrade() throws Exception {
        SidecarChildProcess old = serve();
        AtomicBoolean on = new AtomicBoolean(true);
        AtomicInteger served = new AtomicInteger();
        List<String> troubles = new CopyOnWriteArrayList<>();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(on, served, troubles));
            clients.get(i).start();
        }
        SidecarFixture.await("clients are served", () -> served.get() > CLIENTS);
        SidecarChildProcess fresh = serve();
        old.awaitLine("another process of this sidecar is running");
        old.process.toHandle().destroy();
        assertEquals(0, old.process.waitFor(), "" + old.log);
        old.awaitLine("stopping, another process of this sidecar takes over");
        old.awaitLine("all connections are closed");
        int before = served.get();
        SidecarFixture.await("the new one serves", () -> served.get() > before + CLIENTS);
        on.set(false);
        for (Client client : clients) {
            client.join();
        }
        assertEquals(List.of(), troubles);
        fresh.awaitLine("the other process of this sidecar has ended: full connection limits restored");
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
            try (HttpTestConnection wire = HttpTestConnection.to(address)) {
                assertEquals(
                        "second",
                        wire.send(rig.request("read", DEADLINE_MS)).read().body());
            }
        }
    }
}
