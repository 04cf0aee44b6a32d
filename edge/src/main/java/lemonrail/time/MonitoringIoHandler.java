package lemonrail.time;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * Reports the polls of one event loop to an {@link EventLoopLag}. Netty has no hook that is called when a poll returns.
 * However, a handler asks its context at this point, before it handles the ready events, whether to report the I/O
 * time. That call marks the end of the poll. An end of the heap within the handling of an event ends the handling but
 * not the event loop, which serves all other connections.
 */
public final class MonitoringIoHandler implements IoHandlerFactory {

    private final IoHandlerFactory delegate;
    private final EventLoopLag lag;
    private final Runnable onOutOfMemory;

    /**
     * Creates a factory that wraps another one; it must be used for one event loop only.
     *
     * @param onOutOfMemory is called on the event loop when the handling of events has ended with an
     *     {@link OutOfMemoryError}
     */
    public MonitoringIoHandler(IoHandlerFactory delegate, EventLoopLag lag, Runnable onOutOfMemory) {
        this.delegate = delegate;
        this.lag = lag;
        this.onOutOfMemory = onOutOfMemory;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new Handler(delegate.newHandler(executor), lag, onOutOfMemory);
    }

    private static final class Handler implements IoHandler {
        private final IoHandler delegate;
        private final Context context;
        private final Runnable onOutOfMemory;

        Handler(IoHandler delegate, EventLoopLag lag, Runnable onOutOfMemory) {
            this.delegate = delegate;
            this.onOutOfMemory = onOutOfMemory;
            context = new Context(lag);
        }

        @Override
        public int run(IoHandlerContext loop) {
            context.startIteration(loop);
            try {
                return delegate.run(context);
            } catch (OutOfMemoryError e) {
                reportOutOfMemory();
                return 0;
            }
        }

        private void reportOutOfMemory() {
            try {
                onOutOfMemory.run();
            } catch (OutOfMemoryError e) {
                // There is no memory for the report either; the event loop goes on all the same.
                return;
            }
        }

        @Override
        public void initialize() {
            delegate.initialize();
        }

        @Override
        public void prepareToDestroy() {
            delegate.prepareToDestroy();
        }

        @Override
        public void destroy() {
            delegate.destroy();
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

    /**
     * Wraps the context of the current iteration. The instance is reused, so that an iteration does not allocate
     * memory.
     */
    private static final class Context implements IoHandlerContext {
        private final EventLoopLag lag;
        private IoHandlerContext loop;

        Context(EventLoopLag lag) {
            this.lag = lag;
        }

        void startIteration(IoHandlerContext iteration) {
            loop = iteration;
            long now = System.nanoTime();
            lag.onPollStarted(now, iteration.delayNanos(now));
        }

        @Override
        public boolean canBlock() {
            return loop.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return loop.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            loop.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            lag.onPollReturned(System.nanoTime());
            return loop.shouldReportActiveIoTime();
        }
    }
}
