package lemonrail.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An event loop whose I/O handler throws errors. */
@Timeout(60)
class MonitoringIoHandlerTest {

    private static final int ERRORS = 3;

    private final AtomicInteger thrown = new AtomicInteger();
    private final AtomicInteger reported = new AtomicInteger();

    /** Handles events like its delegate, but for the first calls, in which the heap has ended. */
    private final class ThrowingHandler implements IoHandler {
        private final IoHandler delegate;

        ThrowingHandler(IoHandler delegate) {
            this.delegate = delegate;
        }

        @Override
        public int run(IoHandlerContext loop) {
            if (thrown.get() < ERRORS) {
                thrown.incrementAndGet();
                throw new OutOfMemoryError("Java heap space");
            }
            return delegate.run(loop);
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return delegate.register(handle);
        }

        @Override
        public void wakeup() {
            delegate.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return delegate.isCompatible(handleType);
        }
    }

    /** Reports an error, for which there is no memory either. */
    private void report() {
        reported.incrementAndGet();
        throw new OutOfMemoryError("Java heap space");
    }

    private IoHandler newThrowingHandler(ThreadAwareExecutor executor) {
        return new ThrowingHandler(NioIoHandler.newFactory().newHandler(executor));
    }

    /** Guards against an event loop that ends with the heap, so that no client is served any more. */
    @Test
    void loopOutlivesTheEndOfTheHeap() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1,
                new DefaultThreadFactory("test"),
                new MonitoringIoHandler(this::newThrowingHandler, new EventLoopLag(), this::report));
        try {
            while (thrown.get() < ERRORS) {
                group.submit(() -> {}).sync();
            }
            group.submit(() -> {}).sync();
            assertEquals(ERRORS, reported.get());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
