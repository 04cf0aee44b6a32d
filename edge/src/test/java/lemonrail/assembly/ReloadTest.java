package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** New configurations under load: the watch moves, and nothing else is disturbed. */
@Timeout(60)
class ReloadTest {

    private static final int DEADLINE_MS = 8000;

    private final StubEndpoint before = StubEndpoint.respondingWith(200, "", "before");
    private final StubEndpoint after = StubEndpoint.respondingWith(200, "", "after");
    private SidecarFixture fixture = new SidecarFixture(before);

    ReloadTest() throws IOException {
        // Both fakes stand before each test.
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        after.close();
    }

    private StubEndpoint discoveryWith(int version, StubEndpoint endpoint) throws IOException {
        return new StubEndpoint((wire, request) -> {
            if (request.line().contains("index=")) {
                wire.awaitEnd();
            } else {
                StubEndpoint.respond(
                        wire,
                        200,
                        "",
                        SidecarFixture.list(
                                version, true, SidecarFixture.line(9, endpoint.address(), "in_service", 0)));
            }
        });
    }

    private void reloadFor(String discovery) throws IOException {
        Files.writeString(fixture.configFile, fixture.config().replace(fixture.discovery.address(), discovery));
        fixture.sidecar.reload();
    }

    /** Guards against trust in the old place's version: the new one may count from anywhere. */
    @Test
    void pollsFullSnapshotAtNewAddressAtOnce() throws Exception {
        fixture.askWithinMs = 20;
        fixture.start();
        SidecarFixture.await("a watch is on", () -> fixture.discovery.requests.size() == 1);
        try (StubEndpoint next = discoveryWith(1, after);
                StubEndpoint last = discoveryWith(1, before)) {
            reloadFor(next.address());
            SidecarFixture.await("the watch goes on there", () -> next.requests.size() == 2);
            assertEquals(
                    "GET /registry/instances HTTP/1.1", next.requests.get(0).line());
            assertEquals(
                    "GET /registry/instances?index=1&wait=3000 HTTP/1.1",
                    next.requests.get(1).line());
            SidecarFixture.await("the old watch is dropped", () -> fixture.discovery.open.get() == 0);
            assertEquals("after", fixture.ask("order", DEADLINE_MS).body());
            reloadFor(last.address());
            SidecarFixture.await("and again", () -> last.requests.size() == 2);
            assertEquals("before", fixture.ask("order", DEADLINE_MS).body());
        }
        assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    @Test
    void requestInFlightSurvivesReload() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        before.requestHandler = (wire, request) -> {
            release.await();
            StubEndpoint.respond(wire, 200, "", "before");
        };
        fixture.start();
        try (StubEndpoint next = discoveryWith(5, after);
                HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("it is in hand", () -> before.requests.size() == 1);
            reloadFor(next.address());
            SidecarFixture.await("the new list is there", () -> next.requests.size() == 2);
            release.countDown();
            assertEquals("before", client.read().body());
        }
    }

    @Test
    void invalidFileChangesNothing() throws Exception {
        fixture.askWithinMs = 20;
        fixture.start();
        SidecarFixture.await("a watch is on", () -> fixture.discovery.requests.size() == 1);
        reloadFor("nowhere");
        SidecarFixture.await("it is told", () -> fixture.logged().contains("field discovery is invalid: nowhere"));
        Files.writeString(fixture.configFile, "{");
        fixture.sidecar.reload();
        SidecarFixture.await("it is told", () -> fixture.logged().contains("invalid JSON"));
        assertEquals("before", fixture.ask("order", DEADLINE_MS).body());
        assertEquals(1, fixture.discovery.open.get(), "the old watch goes on");
        assertTrue(
                fixture.logged().contains("configuration not reloaded, the previous one stays in effect"),
                fixture.logged());
    }
}
