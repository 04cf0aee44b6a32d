package lemonrail.assembly;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import lemonrail.lifecycle.EventLoopThreadFactory;
import lemonrail.time.EventLoopLag;
import lemonrail.time.MonitoringIoHandler;

/** The event loop that owns all state of a sidecar, and its only thread. */
final class SidecarEventLoop {

    private final EventLoopLag lag = new EventLoopLag();
    private final EventLoopThreadFactory threads = new EventLoopThreadFactory("sidecar");
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
            1, threads, new MonitoringIoHandler(NioIoHandler.newFactory(), lag, this::onOutOfMemory));
    /** Called on the event loop. */
    private volatile Runnable outOfMemoryListener = () -> {};

    /** Sets what is called on the event loop when handling an event has ended with an {@link OutOfMemoryError}. */
    void setOutOfMemoryListener(Runnable listener) {
        outOfMemoryListener = listener;
    }

    private void onOutOfMemory() {
        outOfMemoryListener.run();
    }

    EventLoop loop() {
        return (EventLoop) group.next();
    }

    EventLoopLag lag() {
        return lag;
    }

    /** Ends the event loop at once. */
    void stop() {
        threads.expectEnd();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
