package lemonrail.lab.host;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import lemonrail.lab.scenario.Scenario.Link;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a relay between two plain sockets, with each of its faults in both directions. */
@Timeout(60)
class RelayTest {

    private static final int READ_TIMEOUT_MS = 20_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private ServerSocket server;
    private Relay relay;
    private Socket client;
    private Socket endpoint;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void end() throws IOException {
        loop.submit(relay::close).syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        server.close();
    }

    private void connect(Link link) throws IOException {
        if (relay == null) {
            relay = new Relay(
                    loop,
                    (java.net.InetSocketAddress) server.getLocalSocketAddress(),
                    link,
                    RandomSource.XO_SHI_RO_256_PP.create(3L));
        }
        client = new Socket(relay.address().getAddress(), relay.address().getPort());
        endpoint = server.accept();
        client.setSoTimeout(READ_TIMEOUT_MS);
        endpoint.setSoTimeout(READ_TIMEOUT_MS);
    }

    private void runOnLoop(Runnable action) {
        loop.submit(action).syncUninterruptibly();
    }

    private static byte[] randomBytes(int count) {
        byte[] bytes = new byte[count];
        new Random(9).nextBytes(bytes);
        return bytes;
    }

    private static final Link PLAIN = new Link(0, 0, 0, 0);

    @Test
    void bytesArriveInOrderInBothDirectionsBeforeTheClose() throws IOException {
        connect(new Link(5, 10, 2000, 700));
        byte[] sent = randomBytes(60_000);
        client.getOutputStream().write(sent);
        assertArrayEquals(sent, endpoint.getInputStream().readNBytes(sent.length));
        // Bytes that were sent just before the close also arrive.
        endpoint.getOutputStream().write(sent);
        endpoint.close();
        assertArrayEquals(sent, client.getInputStream().readAllBytes());
    }

    @Test
    void delayLastsAtLeastAsLongAsConfigured() throws IOException {
        connect(new Link(60, 0, 0, 0));
        long startNanos = System.nanoTime();
        client.getOutputStream().write(1);
        endpoint.getInputStream().read();
        runOnLoop(() -> relay.setExtraDelay(100));
        endpoint.getOutputStream().write(1);
        client.getInputStream().read();
        assertTrue(System.nanoTime() - startNanos >= 219_000_000L, "60 ms in one direction and 160 ms in the other");
    }

    @Test
    void limitedBandwidthDelaysBytes() throws IOException {
        connect(new Link(0, 0, 100, 0));
        long startNanos = System.nanoTime();
        client.getOutputStream().write(randomBytes(30_000));
        endpoint.getInputStream().readNBytes(30_000);
        assertTrue(System.nanoTime() - startNanos >= 290_000_000L, "30 kB at 100 kB per second");
    }

    @Test
    void lostBytesArriveLater() throws IOException {
        connect(PLAIN);
        runOnLoop(() -> relay.setLoss(1));
        long startNanos = System.nanoTime();
        client.getOutputStream().write(1);
        assertEquals(1, endpoint.getInputStream().read());
        assertTrue(System.nanoTime() - startNanos >= 199_000_000L);
    }

    @Test
    void stalledRelayHoldsBytesUntilItResumes() throws IOException {
        connect(PLAIN);
        runOnLoop(() -> relay.setStalled(true));
        client.getOutputStream().write(7);
        endpoint.setSoTimeout(200);
        assertThrows(
                SocketTimeoutException.class, () -> endpoint.getInputStream().read());
        runOnLoop(() -> relay.setStalled(false));
        endpoint.setSoTimeout(READ_TIMEOUT_MS);
        assertEquals(7, endpoint.getInputStream().read());
    }

    @Test
    void frozenConnectionsStayOpenWithoutTrafficAndNewOnesWork() throws IOException {
        connect(PLAIN);
        client.getOutputStream().write(1);
        assertEquals(1, endpoint.getInputStream().read());
        Socket frozen = client;
        Socket frozenEndpoint = endpoint;
        runOnLoop(relay::freeze);
        frozen.getOutputStream().write(2);
        frozenEndpoint.setSoTimeout(200);
        assertThrows(
                SocketTimeoutException.class,
                () -> frozenEndpoint.getInputStream().read());
        connect(PLAIN);
        client.getOutputStream().write(3);
        assertEquals(3, endpoint.getInputStream().read());
    }

    @Test
    void resetClosesBothSides() throws IOException {
        connect(PLAIN);
        client.getOutputStream().write(1);
        endpoint.getInputStream().read();
        runOnLoop(relay::reset);
        assertThrows(SocketException.class, () -> client.getInputStream().read());
        assertThrows(SocketException.class, () -> endpoint.getInputStream().read());
        assertEquals(0, loop.submit(relay::size).syncUninterruptibly().getNow());
    }

    @Test
    void cutEndsTheResponseBeforeItIsComplete() throws IOException {
        connect(new Link(0, 0, 10, 100));
        endpoint.getOutputStream().write(randomBytes(5000));
        byte[] received = client.getInputStream().readNBytes(300);
        assertEquals(300, received.length);
        runOnLoop(relay::cut);
        assertTrue(client.getInputStream().readAllBytes().length < 4700);
    }

    @Test
    void newConnectionsAreResetAfterTheDelay() throws IOException {
        connect(PLAIN);
        runOnLoop(() -> relay.resetNewAfter(50));
        connect(PLAIN);
        assertThrows(SocketException.class, () -> {
            if (client.getInputStream().read() < 0) {
                throw new AssertionError("connection was closed normally, not reset");
            }
        });
    }

    @Test
    void smallestPiecesTransferAllBytes() throws IOException {
        connect(new Link(0, 0, 0, 1));
        client.getOutputStream().write(randomBytes(2000));
        assertArrayEquals(randomBytes(2000), endpoint.getInputStream().readNBytes(2000));
    }
}
