package lemonrail.time;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * Reports the polls of one event loop to an {@link EventLoopLag}. Netty has no hook after a poll, but a handler asks
 * its context right then whether to report the I/O time, before it handles what is ready; that call marks
 * the poll's end.
 */
public final class LagMeasuringIoHandler implements IoHandlerFactory {

    private final IoHandlerFactory delegate;
    private final EventLoopLag lag;

    /** Creates a factory around another, which must serve one event loop only. */
    public LagMeasuringIoHandler(IoHandlerFactory delegate, EventLoopLag lag) {
        this.delegate = delegate;
        this.lag = lag;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new Handler(delegate.newHandler(executor), lag);
    }

    private static final class Handler implements IoHandler {
        private final IoHandler delegate;
        private final Context context;

        Handler(IoHandler delegate, EventLoopLag lag) {
            this.delegate = delegate;
            context = new Context(lag);
        }

        @Override
        public int run(IoHandlerContext loop) {
            context.startIteration(loop);
            return delegate.run(context);
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

    /** Reused for each iteration, so that none allocates. */
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
