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

/** An endpoint that serves most requests and never responds to the others. */
@Timeout(60)
class UnansweredRequestsTest {

    private static final int LATENCY_OBJECTIVE_MS = 1000;
    private static final int UNANSWERED_DEADLINE_MS = 800;
    private static final int ROUNDS = 7;
    /** Together with one served request, the initial concurrency limit for one endpoint. */
    private static final int UNANSWERED_PER_ROUND = 3;
    /** Short compared with the latency objective, but long enough that the served requests do not hide the others. */
    private static final int SERVICE_TIME_MS = 150;

    private static final int MIN_ADMITTED = 6;

    private final AtomicInteger abandoned = new AtomicInteger();
    private final StubEndpoint endpoint = new StubEndpoint((connection, request) -> {
        if (request.startLine().startsWith("POST")) {
            connection.awaitEnd();
            abandoned.incrementAndGet();
        } else {
            Thread.sleep(SERVICE_TIME_MS);
            StubEndpoint.respond(connection, 200, "", "served");
        }
    });
    private final SidecarFixture fixture = new SidecarFixture(endpoint);
    private final List<HttpTestConnection> clients = new ArrayList<>();

    UnansweredRequestsTest() throws IOException {
        fixture.latencyObjectiveMs = LATENCY_OBJECTIVE_MS;
    }

    @AfterEach
    void stop() throws IOException {
        for (HttpTestConnection client : clients) {
            client.close();
        }
        fixture.close();
    }

    /** Sends requests that get no response, and waits until the endpoint has received all of them. */
    private List<HttpTestConnection> sendUnanswered(int requests, int deadlineMs) throws Exception {
        int before = endpoint.requests.size();
        List<HttpTestConnection> unanswered = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            HttpTestConnection client = fixture.client();
            clients.add(client);
            unanswered.add(client.send(fixture.request("order", deadlineMs)));
        }
        SidecarFixture.await("all requests are at the endpoint", () -> endpoint.requests.size() == before + requests);
        return unanswered;
    }

    /**
     * Guards against requests rejected although the endpoint has capacity: unanswered requests do not indicate
     * overload.
     */
    @Test
    void unansweredRequestsDoNotLowerTheLimitWhileOthersAreServed() throws Exception {
        fixture.start();
        for (int round = 0; round < ROUNDS; round++) {
            List<HttpTestConnection> unanswered = sendUnanswered(UNANSWERED_PER_ROUND, UNANSWERED_DEADLINE_MS);
            while (abandoned.get() < (round + 1) * UNANSWERED_PER_ROUND) {
                assertEquals(
                        200, fixture.sendRequest("read", LATENCY_OBJECTIVE_MS).status());
            }
            for (HttpTestConnection client : unanswered) {
                int status = client.read().status();
                assertNotEquals(503, status);
                assertNotEquals(200, status);
            }
        }
        assertEquals(
                MIN_ADMITTED, sendUnanswered(MIN_ADMITTED, LATENCY_OBJECTIVE_MS).size());
    }
}
