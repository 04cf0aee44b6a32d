package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Endpoints that are replaced all the time, each with a new id. */
@Timeout(60)
class ChurnTest {

    private static final int DEADLINE_MS = 8000;
    private static final int ROUNDS = 200;
    private static final int IDS_PER_ROUND = 50;

    private final StubEndpoint endpoint = StubEndpoint.respondingWith(200, "", "served");
    private final SidecarFixture rig = new SidecarFixture(endpoint);
    private final LinkedBlockingQueue<String> lists = new LinkedBlockingQueue<>();

    ChurnTest() throws IOException {
        rig.askWithinMs = 20;
        rig.discovery.requestHandler = (wire, request) -> StubEndpoint.respond(wire, 200, "", lists.take());
    }

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private void publishList(String list) throws InterruptedException {
        int before = rig.discovery.requests.size();
        lists.add(list);
        SidecarFixture.await("the list is applied", () -> rig.discovery.requests.size() > before);
    }

    /** Guards against tables that grow with each id: after thousands only the current ones are known. */
    @Test
    void noStateIsLeftOfRemovedIds() throws Exception {
        rig.start();
        SidecarFixture.await("a watch is on", () -> rig.discovery.requests.size() == 1);
        int last = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<String> lines = new ArrayList<>();
            for (int i = 0; i < IDS_PER_ROUND; i++) {
                lines.add(SidecarFixture.line(last, endpoint.address(), "terminated", 0));
                lines.add(SidecarFixture.line(++last, endpoint.address(), "in_service", 1000 + last));
            }
            publishList(SidecarFixture.list(round + 2, false, lines.toArray(String[]::new)));
            if (round % 20 == 0) {
                assertEquals(200, rig.ask("read", DEADLINE_MS).status());
            }
        }
        assertEquals(200, rig.ask("order", DEADLINE_MS).status());
        assertEquals(
                List.of(0, 1),
                rig.sidecar
                        .loop()
                        .submit(() -> rig.sidecar.requestAndEndpointCounts())
                        .get());
    }

    /** Guards against requests that were meant for a former process and reach the new one at its address. */
    @Test
    void anEndpointAtTheAddressOfAnotherReplacesIt() throws Exception {
        StubEndpoint other = StubEndpoint.respondingWith(200, "", "other");
        try {
            rig.endpoints.add(other);
            rig.start();
            SidecarFixture.await("a watch is on", () -> rig.discovery.requests.size() == 1);
            for (int i = 0; i < 4; i++) {
                assertEquals(200, rig.ask("order", DEADLINE_MS).status());
            }
            // The new one drains, so nothing may go to its address, whoever had it before.
            publishList(SidecarFixture.list(2, false, SidecarFixture.line(7, endpoint.address(), "terminating", 1000)));
            SidecarFixture.await("connections to the former are closed", () -> endpoint.open.get() == 0);
            int before = endpoint.requests.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("other", rig.ask("order", DEADLINE_MS).body());
            }
            assertEquals(before, endpoint.requests.size());
        } finally {
            other.close();
        }
    }
}
