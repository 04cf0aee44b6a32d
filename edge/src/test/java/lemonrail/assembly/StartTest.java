package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.ProtocolRequest;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;
import lemonrail.http1.Http1Protocol;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections of clients while the sidecar is starting. */
@Timeout(60)
class StartTest {

    /** A protocol that records whether a client can connect during the warm-up. */
    private record RecordingProtocol<M extends ProtocolRequest, A>(
            Protocol<M, A> protocol, int port, AtomicBoolean connectedDuringWarmUp) implements Protocol<M, A> {

        @Override
        public Upstream<M, A> createUpstream(EventLoopContext context, int maxConnections) {
            return protocol.createUpstream(context, maxConnections);
        }

        @Override
        public Downstream createDownstream(
                EventLoopContext context, RequestDispatcher<M, A> dispatcher, int maxConnections) {
            return protocol.createDownstream(context, dispatcher, maxConnections);
        }

        @Override
        public void warmUp(EventLoopContext context, InetAddress address, Path scratch, Runnable done) {
            connectedDuringWarmUp.set(canConnect(port));
            protocol.warmUp(context, address, scratch, done);
        }

        @Override
        public int overflowConnections() {
            return protocol.overflowConnections();
        }
    }

    private static boolean canConnect(int port) {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return probe.getLocalPort();
        }
    }

    /** Guards against requests that wait in the accept queue while the warm-up occupies the event loop. */
    @Test
    void refusesClientsUntilWarmUpIsDone() throws Exception {
        int port = freePort();
        AtomicBoolean connectedDuringWarmUp = new AtomicBoolean();
        try (SidecarFixture fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "ok"))) {
            fixture.configChange =
                    config -> config.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"");
            fixture.protocol = new RecordingProtocol<>(new Http1Protocol(), port, connectedDuringWarmUp);
            fixture.start();
            assertFalse(connectedDuringWarmUp.get(), "a client could connect during the warm-up");
            assertTrue(canConnect(port), "a client can connect once the sidecar serves");
        }
    }
}
