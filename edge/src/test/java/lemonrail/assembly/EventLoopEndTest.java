package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lemonrail.cli.Main;
import lemonrail.lifecycle.EventLoopThreadFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process whose event loop ends unexpectedly, or whose heap ends. */
@Timeout(60)
class EventLoopEndTest {

    private static final String RELEASED = "the heap is released";
    private static final int REQUEST_TIMEOUT_MS = 500;

    @TempDir
    Path folder;

    /** A process whose only event loop ends with an error. Another thread never ends, as in a process with more. */
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

    /** A sidecar process in which something else fills the heap, holds it for a while, and releases it, three times. */
    static final class FilledHeapProcess {
        private static final int FIRST_CHUNK_BYTES = 2048;
        private static final int ROUNDS = 3;
        private static final int FILLED_MS = 700;
        private static final Deque<byte[]> CHUNKS = new ArrayDeque<>();

        private FilledHeapProcess() {}

        public static void main(String[] arguments) throws Exception {
            Thread filling = new Thread(FilledHeapProcess::fillRepeatedly, "filling");
            filling.setDaemon(true);
            Main.main(arguments);
            filling.start();
        }

        private static void fillRepeatedly() {
            for (int i = 0; i < ROUNDS; i++) {
                fill();
            }
            System.out.println(RELEASED);
        }

        private static void fill() {
            int chunkBytes = FIRST_CHUNK_BYTES;
            long endNs = System.nanoTime() + FILLED_MS * 1_000_000L;
            while (System.nanoTime() < endNs) {
                try {
                    CHUNKS.add(new byte[chunkBytes]);
                } catch (OutOfMemoryError e) {
                    // Smaller chunks fill what is left, so that nobody can allocate anything.
                    chunkBytes /= 2;
                }
            }
            CHUNKS.clear();
        }
    }

    /** Guards against a process that serves nobody any more after its heap was full, or ends as if told to. */
    @Test
    void processWhoseHeapWasFullServesAgainOrEndsWithAnError() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served"))) {
            Path config = Files.writeString(folder.resolve("config.json"), fixture.config());
            ProcessBuilder builder =
                    javaProcess("-Xmx24m", "-XX:+UseSerialGC", FilledHeapProcess.class.getName(), "serve");
            SidecarChildProcess sidecar = SidecarChildProcess.launch(builder, config, folder);
            try {
                sidecar.awaitLine(SidecarChildProcess.SERVING_TEXT);
                SidecarFixture.await("the heap is released", () -> {
                    sendRequest(fixture, sidecar);
                    return sidecar.hasLogged(RELEASED) || !sidecar.process.isAlive();
                });
                SidecarFixture.await(
                        "it serves again or has ended",
                        () -> !sidecar.process.isAlive() || sendRequest(fixture, sidecar) == 200);
                assertTrue(
                        sidecar.process.isAlive() || sidecar.process.exitValue() == EventLoopThreadFactory.EXIT_STATUS,
                        "" + sidecar.log);
            } finally {
                sidecar.process.destroyForcibly().waitFor();
            }
        }
    }

    /** Returns the status of the response to a new request, or -1 if there is none. */
    private static int sendRequest(SidecarFixture fixture, SidecarChildProcess sidecar) {
        try (HttpTestConnection client = HttpTestConnection.to(sidecar.address())) {
            client.socket.setSoTimeout(REQUEST_TIMEOUT_MS);
            return client.send(fixture.request("read", REQUEST_TIMEOUT_MS))
                    .read()
                    .status();
        } catch (IOException e) {
            return -1;
        }
    }

    private static ProcessBuilder javaProcess(String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command);
    }

    /** Guards against a process without an event loop that stays, or that ends as if it had been told to. */
    @Test
    void processWithoutEventLoopEndsAtOnceWithAnError() throws Exception {
        Process process = javaProcess(EndingProcess.class.getName())
                .redirectErrorStream(true)
                .start();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the process ends");
        String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(EventLoopThreadFactory.EXIT_STATUS, process.exitValue(), log);
        assertTrue(log.contains("the event loop has ended unexpectedly"), log);
    }
}
