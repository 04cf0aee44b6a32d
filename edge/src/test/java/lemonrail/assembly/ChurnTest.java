package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Endpoints that are replaced continuously, each with a new id. */
@Timeout(60)
class ChurnTest {

    private static final int DEADLINE_MS = 8000;
    private static final int ROUNDS = 200;
    private static final int IDS_PER_ROUND = 50;

    private final StubEndpoint endpoint = StubEndpoint.respondingWith(200, "", "served");
    private final SidecarFixture fixture = new SidecarFixture(endpoint);
    private final LinkedBlockingQueue<String> lists = new LinkedBlockingQueue<>();

    ChurnTest() throws IOException {
        fixture.pollIntervalMs = 20;
        fixture.discovery.requestHandler =
                (connection, request) -> StubEndpoint.respond(connection, 200, "", lists.take());
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void publishList(String list) throws InterruptedException {
        int requestsBefore = fixture.discovery.requests.size();
        lists.add(list);
        SidecarFixture.await("the list is applied", () -> fixture.discovery.requests.size() > requestsBefore);
    }

    /** Guards against tables that grow with each id: after thousands of ids only the current one is known. */
    @Test
    void stateOfRemovedEndpointsIsDiscarded() throws Exception {
        fixture.start();
        SidecarFixture.await("a discovery request is open", () -> fixture.discovery.requests.size() == 1);
        int lastId = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<String> changes = new ArrayList<>();
            for (int i = 0; i < IDS_PER_ROUND; i++) {
                changes.add(SidecarFixture.endpointJson(lastId, endpoint.address(), "terminated", 0));
                changes.add(SidecarFixture.endpointJson(++lastId, endpoint.address(), "in_service", 1000 + lastId));
            }
            publishList(SidecarFixture.endpointListJson(round + 2, false, changes.toArray(String[]::new)));
            if (round % 20 == 0) {
                assertEquals(200, fixture.sendRequest("read", DEADLINE_MS).status());
            }
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(
                List.of(0, 1),
                fixture.sidecar
                        .loop()
                        .submit(() -> fixture.sidecar.requestAndEndpointCounts())
                        .get());
    }

    /** Guards against requests for a former process that reach the new process at its address. */
    @Test
    void newEndpointReplacesTheFormerOneAtItsAddress() throws Exception {
        StubEndpoint other = StubEndpoint.respondingWith(200, "", "other");
        try {
            fixture.endpoints.add(other);
            fixture.start();
            SidecarFixture.await("a discovery request is open", () -> fixture.discovery.requests.size() == 1);
            for (int i = 0; i < 4; i++) {
                assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            }
            // The new endpoint is draining, so that no request may be sent to its address.
            publishList(SidecarFixture.endpointListJson(
                    2, false, SidecarFixture.endpointJson(7, endpoint.address(), "terminating", 1000)));
            SidecarFixture.await("connections to the former endpoint are closed", () -> endpoint.open.get() == 0);
            int requestsBefore = endpoint.requests.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("other", fixture.sendRequest("order", DEADLINE_MS).body());
            }
            assertEquals(requestsBefore, endpoint.requests.size());
        } finally {
            other.close();
        }
    }
}
