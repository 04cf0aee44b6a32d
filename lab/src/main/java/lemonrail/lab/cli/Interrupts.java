package lemonrail.lab.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** While open, the end of the process interrupts a thread and waits until that is done with its work. */
public final class Interrupts implements AutoCloseable {

    private static final int MOST_WAIT_S = 20;

    private final CountDownLatch done = new CountDownLatch(1);
    private final Thread hook;

    /** Looks after the thread that calls it. */
    public Interrupts() {
        Thread looked = Thread.currentThread();
        hook = new Thread(
                () -> {
                    looked.interrupt();
                    try {
                        done.await(MOST_WAIT_S, TimeUnit.SECONDS);
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
            // The process is ending: the hook is what ends it.
        }
    }
}
