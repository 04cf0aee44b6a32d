package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An endpoint that serves most requests and never responds to others. */
@Timeout(60)
class UnansweredRequestsTest {

    private static final int AIM_MS = 1000;
    private static final int LOST_MS = 800;
    private static final int ROUNDS = 7;
    /** With one served request, as many as the initial concurrency limit for one endpoint. */
    private static final int LOST_AT_ONCE = 3;
    /** Short compared with the latency objective, but long enough that the served requests do not hide the others. */
    private static final int WORK_MS = 150;

    private static final int HELD = 6;

    private final AtomicInteger givenUp = new AtomicInteger();
    private final StubEndpoint endpoint = new StubEndpoint((wire, request) -> {
        if (request.line().startsWith("POST")) {
            wire.awaitEnd();
            givenUp.incrementAndGet();
        } else {
            Thread.sleep(WORK_MS);
            StubEndpoint.respond(wire, 200, "", "served");
        }
    });
    private final SidecarFixture rig = new SidecarFixture(endpoint);
    private final List<HttpTestConnection> clients = new ArrayList<>();

    UnansweredRequestsTest() throws IOException {
        rig.aimMs = AIM_MS;
    }

    @AfterEach
    void stop() throws IOException {
        for (HttpTestConnection client : clients) {
            client.close();
        }
        rig.close();
    }

    /** Sends requests that get no response; the endpoint has each of them when this returns. */
    private List<HttpTestConnection> lose(int calls, int deadlineMs) throws Exception {
        int before = endpoint.requests.size();
        List<HttpTestConnection> lost = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            HttpTestConnection client = rig.client();
            clients.add(client);
            lost.add(client.send(rig.request("order", deadlineMs)));
        }
        SidecarFixture.await("all calls are at the endpoint", () -> endpoint.requests.size() == before + calls);
        return lost;
    }

    /** Guards against requests rejected though the endpoint has capacity: unanswered ones are no sign of overload. */
    @Test
    void unansweredRequestsDoNotLowerTheLimitWhileOthersAreServed() throws Exception {
        rig.start();
        for (int round = 0; round < ROUNDS; round++) {
            List<HttpTestConnection> lost = lose(LOST_AT_ONCE, LOST_MS);
            while (givenUp.get() < (round + 1) * LOST_AT_ONCE) {
                assertEquals(200, rig.ask("read", AIM_MS).status());
            }
            for (HttpTestConnection client : lost) {
                int status = client.read().status();
                assertNotEquals(503, status);
                assertNotEquals(200, status);
            }
        }
        assertEquals(HELD, lose(HELD, AIM_MS).size());
    }
}
