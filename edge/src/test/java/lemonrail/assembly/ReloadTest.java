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

/** Reloads of the platform's configuration file: discovery can move, and requests in flight are not affected. */
@Timeout(60)
class ReloadTest {

    private static final int DEADLINE_MS = 8000;

    private final StubEndpoint before = StubEndpoint.respondingWith(200, "", "before");
    private final StubEndpoint after = StubEndpoint.respondingWith(200, "", "after");
    private SidecarFixture fixture = new SidecarFixture(before);

    ReloadTest() throws IOException {
        // Both stub endpoints are created for each test.
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        after.close();
    }

    private StubEndpoint discoveryListing(int version, StubEndpoint endpoint) throws IOException {
        return new StubEndpoint((connection, request) -> {
            if (request.startLine().contains("index=")) {
                connection.awaitEnd();
            } else {
                StubEndpoint.respond(
                        connection,
                        200,
                        "",
                        SidecarFixture.endpointListJson(
                                version, true, SidecarFixture.endpointJson(9, endpoint.address(), "in_service", 0)));
            }
        });
    }

    private void reloadWithDiscovery(String discovery) throws IOException {
        Files.writeString(fixture.configFile, fixture.config().replace(fixture.discovery.address(), discovery));
        fixture.sidecar.reload();
    }

    /** Guards against reuse of the version at a former discovery address: the new one may count from any number. */
    @Test
    void pollsFullSnapshotAtNewAddressAtOnce() throws Exception {
        fixture.pollIntervalMs = 20;
        fixture.start();
        SidecarFixture.await("a discovery request is open", () -> fixture.discovery.requests.size() == 1);
        try (StubEndpoint next = discoveryListing(1, after);
                StubEndpoint last = discoveryListing(1, before)) {
            reloadWithDiscovery(next.address());
            SidecarFixture.await("the new discovery is watched", () -> next.requests.size() == 2);
            assertEquals(
                    "GET /registry/instances HTTP/1.1", next.requests.get(0).startLine());
            assertEquals(
                    "GET /registry/instances?index=1&wait=3000 HTTP/1.1",
                    next.requests.get(1).startLine());
            SidecarFixture.await(
                    "the connection to the former discovery is closed", () -> fixture.discovery.open.get() == 0);
            assertEquals("after", fixture.sendRequest("order", DEADLINE_MS).body());
            reloadWithDiscovery(last.address());
            SidecarFixture.await("the third discovery is watched", () -> last.requests.size() == 2);
            assertEquals("before", fixture.sendRequest("order", DEADLINE_MS).body());
        }
        assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    @Test
    void requestInFlightSurvivesReload() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        before.requestHandler = (connection, request) -> {
            release.await();
            StubEndpoint.respond(connection, 200, "", "before");
        };
        fixture.start();
        try (StubEndpoint next = discoveryListing(5, after);
                HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the request is in flight", () -> before.requests.size() == 1);
            reloadWithDiscovery(next.address());
            SidecarFixture.await("the new endpoint list is applied", () -> next.requests.size() == 2);
            release.countDown();
            assertEquals("before", client.read().body());
        }
    }

    @Test
    void invalidFileChangesNothing() throws Exception {
        fixture.pollIntervalMs = 20;
        fixture.start();
        SidecarFixture.await("a discovery request is open", () -> fixture.discovery.requests.size() == 1);
        reloadWithDiscovery("nowhere");
        SidecarFixture.await(
                "the invalid address is logged",
                () -> fixture.logged().contains("field discovery is invalid: nowhere"));
        Files.writeString(fixture.configFile, "{");
        fixture.sidecar.reload();
        SidecarFixture.await(
                "the invalid JSON is logged", () -> fixture.logged().contains("invalid JSON"));
        assertEquals("before", fixture.sendRequest("order", DEADLINE_MS).body());
        assertEquals(1, fixture.discovery.open.get(), "the former discovery is still watched");
        assertTrue(fixture.logged().contains("configuration not reloaded, or only in part"), fixture.logged());
    }
}
