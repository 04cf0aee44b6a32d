package lemonrail.assembly;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import lemonrail.logging.EventLog;

/**
 * A running sidecar and its life cycle: start, reload, shutdown. Only the thread of its event loop accesses its
 * components; the public methods may be called from any other thread. {@link SidecarBuilder} creates it.
 */
public final class Sidecar {

    private static final int NANOS_PER_MS = 1_000_000;

    private final SidecarParts parts;
    private final EventLoop loop;
    private final EventLog log;
    /** The addresses of the listeners opened at the start, in the order of the configuration. */
    private final List<InetSocketAddress> addresses = new CopyOnWriteArrayList<>();

    Sidecar(SidecarParts parts) {
        this.parts = parts;
        loop = parts.context().loop();
        log = parts.context().log();
    }

    /**
     * Opens the admin API, warms up, and then listens for clients; blocks until the sidecar is ready. The listeners
     * open only after the warm-up, so that a client whose connect is refused uses another sidecar at once. A
     * connection that waited in a listener's accept queue could be served after its deadline.
     *
     * @throws IOException if an address cannot be bound, in which case the sidecar is stopped, or if the thread is
     *     interrupted
     */
    public void start() throws IOException {
        long startedNanos = System.nanoTime();
        try {
            openAdminApi();
            warmUp();
            openListeners();
            loop.submit(this::becomeReady).sync();
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
        logServing((System.nanoTime() - startedNanos) / NANOS_PER_MS);
    }

    private void openAdminApi() throws IOException, InterruptedException {
        InetSocketAddress address = parts.config().admin();
        if (address != null) {
            awaitBound("the admin API", address, parts.adminServer().listen(address));
        }
    }

    private void warmUp() throws InterruptedException {
        CountDownLatch warm = new CountDownLatch(1);
        loop.execute(() -> parts.protocol()
                .warmUp(
                        parts.context(),
                        parts.config().listeners().get(0).getAddress(),
                        parts.config().stateFile("warm-up"),
                        warm::countDown));
        warm.await();
    }

    private void openListeners() throws IOException, InterruptedException {
        for (InetSocketAddress address : parts.config().listeners()) {
            ChannelFuture bound =
                    loop.submit(() -> parts.listeners().open(address)).sync().getNow();
            awaitBound("listen", address, bound);
            addresses.add((InetSocketAddress) bound.channel().localAddress());
        }
    }

    private void awaitBound(String listenerName, InetSocketAddress address, ChannelFuture bound)
            throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            stop();
            throw new IOException(listenerName + ": cannot listen on " + address + ": "
                    + bound.cause().getMessage());
        }
    }

    private void becomeReady() {
        // The event loop's delays during the start must not count as lag of the running sidecar.
        parts.context().clock().lag().resetRecentMax();
        parts.context().lifecycle().markStarted();
    }

    private void logServing(long tookMs) {
        String listenAddresses = addresses.stream().map(String::valueOf).collect(Collectors.joining(" and "));
        log.info(
                "serving",
                "serving at " + listenAddresses + ", warm after " + tookMs + " ms",
                "address",
                addresses.get(0),
                "took_ms",
                tookMs);
    }

    /** Requests a reload of the configuration, which applies what can change at run time; returns at once. */
    public void reload() {
        parts.reloader().request();
    }

    /** Logs that the process ignores the signal that triggers {@link #reload}, and why. */
    public void logReloadSignalIgnored(String reason) {
        log.warn("reload_signal_ignored", "configuration reloads by signal are disabled: " + reason);
    }

    /** Blocks until the requests in flight and those that still arrive are finished or time out, then stops. */
    public void shutdownGracefully() {
        parts.shutdown().run(parts.settings().longestDeadlineMs());
        stop();
    }

    /** Stops at once, like a killed process; requests in flight get no response. */
    public void stop() {
        parts.eventLoop().stop();
        try {
            parts.siblingLock().close();
        } catch (IOException e) {
            log.warn(
                    "sibling_lock_failed",
                    "cannot remove this process from the list of sibling processes: " + e.getMessage());
        }
    }

    /** Returns the bound address of the first listener. */
    public InetSocketAddress address() {
        return addresses.get(0);
    }

    /** Returns the bound address of the admin API. */
    InetSocketAddress adminAddress() {
        return parts.adminServer().address();
    }

    EventLoop loop() {
        return loop;
    }

    /** Returns the number of requests in flight and the number of known endpoints; call it on the event loop. */
    List<Integer> requestAndEndpointCounts() {
        return List.of(parts.dispatcher().requestsInFlight(), parts.upstream().endpointCount());
    }
}
