package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Many sidecar processes that restart at the same time and share the cores of the machine. */
@Timeout(60)
class RestartTest {

    private static final int SIDECARS = 2 * Runtime.getRuntime().availableProcessors();
    private static final double MIN_READY_SHARE = 0.9;
    private static final double MAX_START_MS = 10_000;

    @TempDir
    Path folder;

    private final List<SidecarChildProcess> sidecars = new ArrayList<>();

    @AfterEach
    void stop() throws InterruptedException {
        sidecars.forEach(sidecar -> sidecar.process.destroyForcibly());
        for (SidecarChildProcess sidecar : sidecars) {
            sidecar.process.waitFor();
        }
    }

    private static boolean isReady(SidecarChildProcess sidecar) {
        if (!sidecar.isServing()) {
            return false;
        }
        try (HttpTestConnection connection = HttpTestConnection.to(sidecar.address())) {
            return connection
                            .send("GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
                            .read()
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against starts that use so much processor time that a restarted fleet is unavailable for long. */
    @Test
    void ninetyPercentOfSidecarsAreReadyInTime() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "yes"))) {
            Path config = Files.writeString(folder.resolve("config.json"), fixture.config());
            long startNs = System.nanoTime();
            for (int i = 0; i < SIDECARS; i++) {
                sidecars.add(DeployedSidecar.launch(config, Files.createDirectory(folder.resolve("n" + i))));
            }
            List<SidecarChildProcess> starting = new ArrayList<>(sidecars);
            SidecarFixture.await(
                    "90 % of the sidecars are ready",
                    () -> {
                        starting.removeIf(RestartTest::isReady);
                        return starting.size() <= (1 - MIN_READY_SHARE) * SIDECARS;
                    });
            double tookMs = (System.nanoTime() - startNs) / 1e6;
            assertTrue(tookMs < MAX_START_MS, tookMs + " ms until 90 % were ready of " + SIDECARS);
        }
    }
}
