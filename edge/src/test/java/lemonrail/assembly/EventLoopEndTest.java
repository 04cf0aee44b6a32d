package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import lemonrail.lifecycle.EventLoopThreadFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A process whose event loop ends unexpectedly. */
@Timeout(60)
class EventLoopEndTest {

    /** A process whose only event loop ends with an error. A thread that never ends stands for the rest of a process. */
    static final class EndingProcess {
        private EndingProcess() {}

        @SuppressWarnings({"deprecation", "removal", "ThreadPriorityCheck"})
        public static void main(String[] arguments) throws InterruptedException {
            EventLoop loop = new SidecarEventLoop().loop();
            Thread[] loopThread = new Thread[1];
            loop.submit(() -> loopThread[0] = Thread.currentThread()).sync();
            loopThread[0].stop();
            Thread.currentThread().join();
        }
    }

    /** Guards against a process without an event loop that stays, or that ends as if it had been told to. */
    @Test
    void processWithoutEventLoopEndsAtOnceWithAnError() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        EndingProcess.class.getName())
                .redirectErrorStream(true)
                .start();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the process ends");
        String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(EventLoopThreadFactory.EXIT_STATUS, process.exitValue(), log);
        assertTrue(log.contains("the event loop has ended unexpectedly"), log);
    }
}
