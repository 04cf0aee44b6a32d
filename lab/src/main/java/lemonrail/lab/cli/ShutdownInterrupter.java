package lemonrail.lab.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * While open, interrupts a thread when the JVM shuts down, and delays the shutdown until this object is closed, for at
 * most {@code MAX_WAIT_S}.
 */
public final class ShutdownInterrupter implements AutoCloseable {

    private static final int MAX_WAIT_S = 20;

    private final CountDownLatch done = new CountDownLatch(1);
    private final Thread hook;

    /** Registers the calling thread. */
    public ShutdownInterrupter() {
        Thread target = Thread.currentThread();
        hook = new Thread(
                () -> {
                    target.interrupt();
                    try {
                        done.await(MAX_WAIT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "interrupt");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    @Override
    public void close() {
        done.countDown();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The JVM is already shutting down; the hook cannot be removed any more and has been released above.
        }
    }
}
