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

/** What a client meets before a sidecar is ready. */
@Timeout(60)
class StartTest {

    /** A protocol that tells whether a client is let in while it warms up. */
    private record Watched<M extends ProtocolRequest, A>(Protocol<M, A> protocol, int port, AtomicBoolean letIn)
            implements Protocol<M, A> {

        @Override
        public Upstream<M, A> createUpstream(EventLoopContext shard, int mostConnections) {
            return protocol.createUpstream(shard, mostConnections);
        }

        @Override
        public Downstream createDownstream(
                EventLoopContext shard, RequestDispatcher<M, A> exchange, int mostConnections) {
            return protocol.createDownstream(shard, exchange, mostConnections);
        }

        @Override
        public void warmUp(EventLoopContext shard, InetAddress at, Path scratch, Runnable done) {
            letIn.set(lets(port));
            protocol.warmUp(shard, at, scratch, done);
        }

        @Override
        public int overflowConnections() {
            return protocol.overflowConnections();
        }
    }

    private static boolean lets(int port) {
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

    /** Guards against requests that wait in the listener's queue while the start keeps the loop busy. */
    @Test
    void refusesClientsBeforeWarmUpIsDone() throws Exception {
        int port = freePort();
        AtomicBoolean letIn = new AtomicBoolean();
        try (SidecarFixture fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "ok"))) {
            fixture.change =
                    config -> config.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"");
            fixture.protocol = new Watched<>(new Http1Protocol(), port, letIn);
            fixture.start();
            assertFalse(letIn.get(), "a client was let in during the warm-up");
            assertTrue(lets(port), "a client is let in once the sidecar serves");
        }
    }
}
