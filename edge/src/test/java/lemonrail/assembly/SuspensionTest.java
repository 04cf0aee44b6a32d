package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Endpoints out by hand: nothing reaches them until the call back, whatever happens in between. */
@Timeout(60)
class SuspensionTest {

    private static final int DEADLINE_MS = 8000;

    @TempDir
    Path folder;

    private final StubEndpoint first = StubEndpoint.respondingWith(200, "", "first");
    private final StubEndpoint second = StubEndpoint.respondingWith(200, "", "second");
    private final BlockingQueue<String> lists = new LinkedBlockingQueue<>();
    private SidecarFixture rig;

    SuspensionTest() throws IOException {
        // Both fakes stand before each test.
    }

    private SidecarFixture start(StubEndpoint... endpoints) throws IOException {
        rig = new SidecarFixture(endpoints);
        rig.folder = folder;
        rig.askWithinMs = 20;
        rig.discovery.requestHandler = (wire, request) -> StubEndpoint.respond(wire, 200, "", lists.take());
        return rig.start();
    }

    @AfterEach
    void stop() throws IOException {
        rig.close();
        first.close();
        second.close();
    }

    private void operate(String path) throws IOException {
        assertEquals(200, rig.callAdmin("PUT", "/v1/endpoints/" + path).status());
    }

    private void assertServedBy(String body, int times) throws IOException {
        for (int i = 0; i < times; i++) {
            assertEquals(body, rig.ask("read", DEADLINE_MS).body());
        }
    }

    private void awaitFigure(String line) throws InterruptedException {
        SidecarFixture.await(line, () -> {
            try {
                return rig.callAdmin("GET", "/v1/metrics").body().contains("edge_gw." + line + "\n");
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    private void tell(int version, boolean full, String... lines) throws InterruptedException {
        int asked = rig.discovery.requests.size();
        lists.add(SidecarFixture.list(version, full, lines));
        SidecarFixture.await("the news is taken in", () -> rig.discovery.requests.size() > asked);
    }

    @Test
    void nothingNewReachesItUntilTheCallBack() throws Exception {
        start(first, second);
        operate("s0/suspend");
        operate("s0/suspend");
        assertServedBy("second", 5);
        awaitFigure("targets=2");
        awaitFigure("targets_disabled=1");
        operate("s1/suspend");
        operate("s0/resume");
        assertServedBy("first", 5);
        operate("s1/resume");
        awaitFigure("targets_disabled=0");
    }

    /** Guards against news that undo an operator's word: lists, changes, and a restart of the endpoint. */
    @Test
    void newsOfDiscoveryDoNotBringItBack() throws Exception {
        start(first, second);
        operate("s0/suspend");
        String other = SidecarFixture.line(1, second.address(), "in_service", 0);
        tell(2, false, SidecarFixture.line(0, first.address(), "in_service", 0));
        assertServedBy("second", 3);
        tell(3, true, SidecarFixture.line(0, first.address(), "in_service", System.currentTimeMillis()), other);
        assertServedBy("second", 3);
        tell(4, false, SidecarFixture.line(0, first.address(), "terminated", 0));
        awaitFigure("targets=1");
        tell(5, false, SidecarFixture.line(0, first.address(), "in_service", 1000));
        awaitFigure("targets=2");
        assertServedBy("second", 3);
        assertEquals(0, first.requests.size());
        operate("s1/suspend");
        operate("s0/resume");
        assertServedBy("first", 1);
    }

    /** On its way back it is what discovery says: one that drains there gets nothing still. */
    @Test
    void theCallBackDoesNotOverruleDiscovery() throws Exception {
        start(first, second);
        operate("s0/suspend");
        tell(2, false, SidecarFixture.line(0, first.address(), "terminating", 0));
        operate("s0/resume");
        assertServedBy("second", 5);
        assertEquals(0, first.requests.size());
    }

    @Test
    void itOutlivesTheProcess() throws Exception {
        start(first, second);
        operate("s0/suspend");
        rig.sidecar.stop();
        rig.start();
        assertServedBy("second", 5);
        awaitFigure("targets_disabled=1");
        operate("s0/resume");
        awaitFigure("targets_disabled=0");
        rig.sidecar.stop();
        rig.start();
        awaitFigure("targets_disabled=0");
    }

    /** Two processes of one sidecar, as in an upgrade, do by either's word. */
    @Test
    void theOtherProcessHearsOfIt() throws Exception {
        start(first, second);
        try (SidecarFixture other = new SidecarFixture(first, second)) {
            other.folder = folder;
            other.start();
            operate("s0/suspend");
            SidecarFixture.await(
                    "the other heard", () -> other.logged().contains("suspended by another process: [s0]"));
            for (int i = 0; i < 5; i++) {
                assertEquals("second", other.ask("read", DEADLINE_MS).body());
            }
            assertEquals(200, other.callAdmin("PUT", "/v1/endpoints/s0/resume").status());
            awaitFigure("targets_disabled=0");
        }
    }

    /** Guards against a start that a half-written file prevents, or that trusts one. */
    @Test
    void aDamagedFileIsToldAndSurvived() throws Exception {
        Files.writeString(folder.resolve("n0.suspended"), "suspended endpoints\ns0\n");
        start(first, second);
        assertTrue(rig.logged().contains("n0.suspended is damaged"), rig.logged());
        assertEquals(200, rig.ask("read", DEADLINE_MS).status());
        operate("s0/suspend");
        assertServedBy("second", 3);
        rig.sidecar.stop();
        rig.start();
        awaitFigure("targets_disabled=1");
    }

    /** Where it cannot be kept it is not promised. */
    @Test
    void whatCannotBeSavedIsRefused() throws Exception {
        start(first, second);
        Files.createDirectory(folder.resolve("n0.suspended.new"));
        assertEquals(500, rig.callAdmin("PUT", "/v1/endpoints/s0/suspend").status());
        assertTrue(rig.logged().contains("s0 is not suspended"), rig.logged());
        awaitFigure("targets_disabled=0");
    }
}
