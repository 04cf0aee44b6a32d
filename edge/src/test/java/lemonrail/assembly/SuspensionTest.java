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

/** Suspended endpoints get no requests until they are resumed, also across list updates and restarts. */
@Timeout(60)
class SuspensionTest {

    private static final int DEADLINE_MS = 8000;

    @TempDir
    Path folder;

    private final StubEndpoint first = StubEndpoint.respondingWith(200, "", "first");
    private final StubEndpoint second = StubEndpoint.respondingWith(200, "", "second");
    private final BlockingQueue<String> lists = new LinkedBlockingQueue<>();
    private SidecarFixture fixture;

    SuspensionTest() throws IOException {
        // Both stub endpoints are created for each test.
    }

    private SidecarFixture start(StubEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        fixture.stateDirectory = folder;
        fixture.pollIntervalMs = 20;
        fixture.discovery.requestHandler =
                (connection, request) -> StubEndpoint.respond(connection, 200, "", lists.take());
        return fixture.start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        first.close();
        second.close();
    }

    private void putEndpoint(String path) throws IOException {
        assertEquals(200, fixture.callAdmin("PUT", "/v1/endpoints/" + path).status());
    }

    private void assertServedBy(String body, int times) throws IOException {
        for (int i = 0; i < times; i++) {
            assertEquals(body, fixture.sendRequest("read", DEADLINE_MS).body());
        }
    }

    private void awaitMetric(String line) throws InterruptedException {
        SidecarFixture.await(line, () -> {
            try {
                return fixture.callAdmin("GET", "/v1/metrics").body().contains("edge_gw." + line + "\n");
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    private void publishList(int version, boolean full, String... lines) throws InterruptedException {
        int requestsBefore = fixture.discovery.requests.size();
        lists.add(SidecarFixture.endpointListJson(version, full, lines));
        SidecarFixture.await("the list is applied", () -> fixture.discovery.requests.size() > requestsBefore);
    }

    @Test
    void suspendedEndpointGetsNoRequestsUntilResumed() throws Exception {
        start(first, second);
        putEndpoint("s0/suspend");
        putEndpoint("s0/suspend");
        assertServedBy("second", 5);
        awaitMetric("targets=2");
        awaitMetric("targets_disabled=1");
        putEndpoint("s1/suspend");
        putEndpoint("s0/resume");
        assertServedBy("first", 5);
        putEndpoint("s1/resume");
        awaitMetric("targets_disabled=0");
    }

    /** Guards against updates that undo a suspension: full snapshots, deltas, and a restart of the endpoint. */
    @Test
    void discoveryUpdatesDoNotResumeASuspendedEndpoint() throws Exception {
        start(first, second);
        putEndpoint("s0/suspend");
        String other = SidecarFixture.endpointJson(1, second.address(), "in_service", 0);
        publishList(2, false, SidecarFixture.endpointJson(0, first.address(), "in_service", 0));
        assertServedBy("second", 3);
        publishList(
                3,
                true,
                SidecarFixture.endpointJson(0, first.address(), "in_service", System.currentTimeMillis()),
                other);
        assertServedBy("second", 3);
        publishList(4, false, SidecarFixture.endpointJson(0, first.address(), "terminated", 0));
        awaitMetric("targets=1");
        publishList(5, false, SidecarFixture.endpointJson(0, first.address(), "in_service", 1000));
        awaitMetric("targets=2");
        assertServedBy("second", 3);
        assertEquals(0, first.requests.size());
        putEndpoint("s1/suspend");
        putEndpoint("s0/resume");
        assertServedBy("first", 1);
    }

    /** A resumed endpoint has the state that discovery reports: a draining one still gets no requests. */
    @Test
    void resumedEndpointKeepsItsDiscoveryState() throws Exception {
        start(first, second);
        putEndpoint("s0/suspend");
        publishList(2, false, SidecarFixture.endpointJson(0, first.address(), "terminating", 0));
        putEndpoint("s0/resume");
        assertServedBy("second", 5);
        assertEquals(0, first.requests.size());
    }

    @Test
    void suspensionSurvivesARestart() throws Exception {
        start(first, second);
        putEndpoint("s0/suspend");
        fixture.sidecar.stop();
        fixture.start();
        assertServedBy("second", 5);
        awaitMetric("targets_disabled=1");
        putEndpoint("s0/resume");
        awaitMetric("targets_disabled=0");
        fixture.sidecar.stop();
        fixture.start();
        awaitMetric("targets_disabled=0");
    }

    /** Two processes of one sidecar, as during an upgrade, share their suspensions. */
    @Test
    void suspensionIsAppliedByTheOtherProcess() throws Exception {
        start(first, second);
        try (SidecarFixture other = new SidecarFixture(first, second)) {
            other.stateDirectory = folder;
            other.start();
            putEndpoint("s0/suspend");
            SidecarFixture.await(
                    "the other process has applied the suspension",
                    () -> other.logged().contains("suspended by another process: [s0]"));
            for (int i = 0; i < 5; i++) {
                assertEquals("second", other.sendRequest("read", DEADLINE_MS).body());
            }
            assertEquals(200, other.callAdmin("PUT", "/v1/endpoints/s0/resume").status());
            awaitMetric("targets_disabled=0");
        }
    }

    /** Guards against a start that fails because of a truncated file, or that uses its content. */
    @Test
    void damagedFileIsLoggedAndCountsAsEmpty() throws Exception {
        Files.writeString(folder.resolve("n0.suspended"), "suspended endpoints\ns0\n");
        start(first, second);
        assertTrue(
                fixture.logged().contains("n0.suspended is damaged: header, footer or number of ids is wrong"),
                fixture.logged());
        assertEquals(200, fixture.sendRequest("read", DEADLINE_MS).status());
        putEndpoint("s0/suspend");
        assertServedBy("second", 3);
        fixture.sidecar.stop();
        fixture.start();
        awaitMetric("targets_disabled=1");
    }

    /** A suspension that cannot be persisted is not confirmed. */
    @Test
    void suspensionThatCannotBePersistedIsRejected() throws Exception {
        start(first, second);
        Files.createDirectory(folder.resolve("n0.suspended.new"));
        assertEquals(500, fixture.callAdmin("PUT", "/v1/endpoints/s0/suspend").status());
        assertTrue(fixture.logged().contains("s0 could not be suspended"), fixture.logged());
        awaitMetric("targets_disabled=0");
    }
}
