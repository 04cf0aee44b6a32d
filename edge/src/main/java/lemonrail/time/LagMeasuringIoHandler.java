package lemonrail.time;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * I/O of one event loop whose polls are told to a {@link EventLoopLag}. A handler asks its context whether to
 * report the time of I/O right after the poll, and before it handles what is ready: that is where the end of
 * a poll shows.
 */
public final class LagMeasuringIoHandler implements IoHandlerFactory {

    private final IoHandlerFactory measured;
    private final EventLoopLag lag;

    /** Measures the handlers of this factory, which must serve one loop only. */
    public LagMeasuringIoHandler(IoHandlerFactory measured, EventLoopLag lag) {
        this.measured = measured;
        this.lag = lag;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new Handler(measured.newHandler(executor), lag);
    }

    private static final class Handler implements IoHandler {
        private final IoHandler handler;
        private final Context context;

        Handler(IoHandler handler, EventLoopLag lag) {
            this.handler = handler;
            context = new Context(lag);
        }

        @Override
        public int run(IoHandlerContext loop) {
            context.begin(loop);
            return handler.run(context);
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return handler.isCompatible(handleType);
        }
    }

    /** One for the life of the handler: an iteration must not cost an allocation. */
    private static final class Context implements IoHandlerContext {
        private final EventLoopLag lag;
        private IoHandlerContext loop;

        Context(EventLoopLag lag) {
            this.lag = lag;
        }

        void begin(IoHandlerContext iteration) {
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
