package lemonrail.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.Callable;

/** Runs tasks on an event loop and waits for their results. May be used from any thread, including the event loop. */
final class EventLoopInvoker {

    private final EventLoop loop;

    EventLoopInvoker(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs a task and returns its result; an exception of the task is thrown to the caller. */
    <T> T call(Callable<T> task) throws IOException {
        return loop.inEventLoop() ? callInline(task) : submit(task);
    }

    private static <T> T callInline(Callable<T> task) throws IOException {
        try {
            return task.call();
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    private <T> T submit(Callable<T> task) throws IOException {
        Future<T> done = loop.submit(task).awaitUninterruptibly();
        if (done.isSuccess()) {
            return done.getNow();
        }
        if (done.cause() instanceof RuntimeException e) {
            throw e;
        }
        throw done.cause() instanceof IOException e ? e : new IOException(done.cause());
    }

    /** Runs a task that does no I/O and returns its result. */
    <T> T query(Callable<T> task) {
        try {
            return call(task);
        } catch (IOException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    /** Runs a task that does no I/O, and returns when the task has ended. */
    void run(Runnable task) {
        query(() -> {
            task.run();
            return null;
        });
    }
}
