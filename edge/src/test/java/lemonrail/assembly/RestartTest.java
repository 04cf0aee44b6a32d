package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Many sidecars, each a process, that restart together and share the machine's cores. */
@Timeout(60)
class RestartTest {

    private static final Path DEPLOY = Path.of("..", "deploy", "balancer.toml");
    private static final int SIDECARS = 2 * Runtime.getRuntime().availableProcessors();
    private static final double READY_SHARE = 0.9;
    private static final double READY_MS = 10_000;

    @TempDir
    Path folder;

    private final List<SidecarChildProcess> sidecars = new ArrayList<>();

    @AfterEach
    void stop() throws InterruptedException {
        sidecars.forEach(served -> served.process.destroyForcibly());
        for (SidecarChildProcess served : sidecars) {
            served.process.waitFor();
        }
    }

    /** The flags of the platform's command, but for the class archive, which would save time. */
    private static String[] flags() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"exec java (.*) -jar ").matcher(Files.readString(DEPLOY));
        assertTrue(run.find(), "deploy/balancer.toml names its command");
        return Stream.of(run.group(1).split(" "))
                .filter(flag -> !flag.contains("SharedArchiveFile"))
                .toArray(String[]::new);
    }

    private static boolean isReady(SidecarChildProcess served) {
        if (!served.isServing()) {
            return false;
        }
        try (HttpTestConnection wire = HttpTestConnection.to(served.address())) {
            return wire.send("GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
                            .read()
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against starts that cost so much that a fleet is long in coming back. */
    @Test
    void nineInTenRestartsAreReadyInTime() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "yes"))) {
            Path config = Files.writeString(folder.resolve("config.json"), fixture.config());
            long began = System.nanoTime();
            for (int i = 0; i < SIDECARS; i++) {
                sidecars.add(
                        SidecarChildProcess.launch(config, Files.createDirectory(folder.resolve("n" + i)), flags()));
            }
            List<SidecarChildProcess> waiting = new ArrayList<>(sidecars);
            SidecarFixture.await("nine in ten are ready", () -> {
                waiting.removeIf(RestartTest::isReady);
                return waiting.size() <= (1 - READY_SHARE) * SIDECARS;
            });
            double tookMs = (System.nanoTime() - began) / 1e6;
            assertTrue(tookMs < READY_MS, tookMs + " ms for nine in ten of " + SIDECARS);
        }
    }
}
