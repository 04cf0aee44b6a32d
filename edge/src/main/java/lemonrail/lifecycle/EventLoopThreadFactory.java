package lemonrail.lifecycle;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadFactory;

/**
 * Creates the thread of the event loop. If the thread ends although the process is not stopping, no request can get a
 * response any more, so the process ends at once with {@link #EXIT_STATUS}: its connections are reset, and whatever
 * supervises it starts another one.
 */
public final class EventLoopThreadFactory implements ThreadFactory {

    /** The exit status of a process whose event loop has ended unexpectedly ({@code EX_SOFTWARE} of sysexits). */
    public static final int EXIT_STATUS = 70;

    /** Created in advance, because the heap may have ended. */
    private static final byte[] MESSAGE =
            "lemonrail: the event loop has ended unexpectedly; the process ends\n".getBytes(StandardCharsets.US_ASCII);

    private final ThreadFactory delegate;
    private volatile boolean endExpected;

    /**
     * Creates a factory.
     *
     * @param name the beginning of the thread's name
     */
    public EventLoopThreadFactory(String name) {
        delegate = new DefaultThreadFactory(name);
    }

    /** Notes that the event loop is about to be stopped. */
    public void expectEnd() {
        endExpected = true;
    }

    @Override
    public Thread newThread(Runnable loop) {
        return delegate.newThread(() -> {
            try {
                loop.run();
            } finally {
                if (!endExpected) {
                    halt();
                }
            }
        });
    }

    private static void halt() {
        try (FileOutputStream errors = new FileOutputStream(FileDescriptor.err)) {
            errors.write(MESSAGE);
        } catch (IOException e) {
            // The exit status alone has to tell what has happened.
            Runtime.getRuntime().halt(EXIT_STATUS);
        } finally {
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }
}
