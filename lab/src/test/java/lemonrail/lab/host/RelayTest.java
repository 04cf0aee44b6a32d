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

/** A relay between two plain sockets, each of its faults both ways. */
@Timeout(60)
class RelayTest {

    private static final int LONG_MS = 20_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private ServerSocket server;
    private Relay relay;
    private Socket near;
    private Socket far;

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

    private void join(Link link) throws IOException {
        if (relay == null) {
            relay = new Relay(
                    loop,
                    (java.net.InetSocketAddress) server.getLocalSocketAddress(),
                    link,
                    RandomSource.XO_SHI_RO_256_PP.create(3L));
        }
        near = new Socket(relay.address().getAddress(), relay.address().getPort());
        far = server.accept();
        near.setSoTimeout(LONG_MS);
        far.setSoTimeout(LONG_MS);
    }

    private void now(Runnable what) {
        loop.submit(what).syncUninterruptibly();
    }

    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        new Random(9).nextBytes(bytes);
        return bytes;
    }

    private static final Link PLAIN = new Link(0, 0, 0, 0);

    @Test
    void allArrivesInOrderBothWaysAndTheEndBehindIt() throws IOException {
        join(new Link(5, 10, 2000, 700));
        byte[] sent = bytes(60_000);
        near.getOutputStream().write(sent);
        assertArrayEquals(sent, far.getInputStream().readNBytes(sent.length));
        // What was sent just before the close arrives as well.
        far.getOutputStream().write(sent);
        far.close();
        assertArrayEquals(sent, near.getInputStream().readAllBytes());
    }

    @Test
    void aDelayIsAtLeastAsLongAsItSays() throws IOException {
        join(new Link(60, 0, 0, 0));
        long began = System.nanoTime();
        near.getOutputStream().write(1);
        far.getInputStream().read();
        now(() -> relay.setExtraDelay(100));
        far.getOutputStream().write(1);
        near.getInputStream().read();
        assertTrue(System.nanoTime() - began >= 219_000_000L, "60 one way and 160 the other");
    }

    @Test
    void aNarrowLinkTakesItsTime() throws IOException {
        join(new Link(0, 0, 100, 0));
        long began = System.nanoTime();
        near.getOutputStream().write(bytes(30_000));
        far.getInputStream().readNBytes(30_000);
        assertTrue(System.nanoTime() - began >= 290_000_000L, "30 kB at 100 kB a second");
    }

    @Test
    void whatIsLostComesLater() throws IOException {
        join(PLAIN);
        now(() -> relay.setLoss(1));
        long began = System.nanoTime();
        near.getOutputStream().write(1);
        assertEquals(1, far.getInputStream().read());
        assertTrue(System.nanoTime() - began >= 199_000_000L);
    }

    @Test
    void stalledItHoldsAllUntilItGoesOn() throws IOException {
        join(PLAIN);
        now(() -> relay.setStalled(true));
        near.getOutputStream().write(7);
        far.setSoTimeout(200);
        assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
        now(() -> relay.setStalled(false));
        far.setSoTimeout(LONG_MS);
        assertEquals(7, far.getInputStream().read());
    }

    @Test
    void frozenConnectionsStayOpenAndCarryNothingWhileNewOnesDo() throws IOException {
        join(PLAIN);
        near.getOutputStream().write(1);
        assertEquals(1, far.getInputStream().read());
        Socket frozen = near;
        Socket frozenFar = far;
        now(relay::freeze);
        frozen.getOutputStream().write(2);
        frozenFar.setSoTimeout(200);
        assertThrows(
                SocketTimeoutException.class, () -> frozenFar.getInputStream().read());
        join(PLAIN);
        near.getOutputStream().write(3);
        assertEquals(3, far.getInputStream().read());
    }

    @Test
    void resetsAreSeenOnBothSides() throws IOException {
        join(PLAIN);
        near.getOutputStream().write(1);
        far.getInputStream().read();
        now(relay::reset);
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        assertThrows(SocketException.class, () -> far.getInputStream().read());
        assertEquals(0, loop.submit(relay::size).syncUninterruptibly().getNow());
    }

    @Test
    void aCutEndsTheAnswerInItsMiddle() throws IOException {
        join(new Link(0, 0, 10, 100));
        far.getOutputStream().write(bytes(5000));
        byte[] some = near.getInputStream().readNBytes(300);
        assertEquals(300, some.length);
        now(relay::cut);
        assertTrue(near.getInputStream().readAllBytes().length < 4700);
    }

    @Test
    void newConnectionsAreResetAfterAWhile() throws IOException {
        join(PLAIN);
        now(() -> relay.resetNewAfter(50));
        join(PLAIN);
        assertThrows(SocketException.class, () -> {
            if (near.getInputStream().read() < 0) {
                throw new AssertionError("ended in order instead");
            }
        });
    }

    @Test
    void piecesAreNoLargerThanAllowed() throws IOException {
        join(new Link(0, 0, 0, 1));
        near.getOutputStream().write(bytes(2000));
        assertArrayEquals(bytes(2000), far.getInputStream().readNBytes(2000));
    }
}
