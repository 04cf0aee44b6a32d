package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A sidecar in a fleet of 1,024 with 1,024 endpoints: no list or table of the process has a smaller limit. */
class FleetSizeTest {

    private static final int FLEET_SIZE = 1024;
    private static final int VERSION = 7;
    private static final int DEADLINE_MS = 9000;

    private SidecarFixture fixture;
    private StubEndpoint last;

    @AfterEach
    void close() throws Exception {
        fixture.close();
        last.close();
    }

    /** Returns the address of an endpoint. Nothing listens there, except at the last one. */
    private String address(int number) {
        return number == FLEET_SIZE - 1 ? last.address() : "127.1." + number / 256 + "." + number % 256 + ":9";
    }

    private String list() {
        return SidecarFixture.endpointListJson(
                VERSION,
                true,
                IntStream.range(0, FLEET_SIZE)
                        .mapToObj(number -> SidecarFixture.endpointJson(number, address(number), "in_service", 0))
                        .toArray(String[]::new));
    }

    /** Guards against entries lost at the end of a list, and against a limit on the number of suspended endpoints. */
    @Test
    void lastEndpointServesWhileAllOthersAreSuspended() throws Exception {
        last = StubEndpoint.respondingWith(200, "", "the last");
        fixture = new SidecarFixture();
        fixture.configChange = config -> config.replace(
                "\"replicas-of-me\":1,\"slot-no\":0",
                "\"replicas-of-me\":" + FLEET_SIZE + ",\"slot-no\":" + (FLEET_SIZE - 1));
        fixture.discovery.requestHandler = (connection, request) -> {
            fixture.discovery.requestHandler = (next, later) -> next.awaitEnd();
            StubEndpoint.respond(connection, 200, "", list());
        };
        fixture.start();
        SidecarFixture.await(
                "the endpoint list is applied",
                () -> fixture.discovery.requests.stream()
                        .anyMatch(request -> request.startLine().contains("index=" + VERSION)));
        for (int number = 0; number < FLEET_SIZE - 1; number++) {
            String id = "s" + number;
            assertEquals(
                    200,
                    fixture.callAdmin("PUT", "/v1/endpoints/" + id + "/suspend").status(),
                    id);
        }
        assertEquals("the last", fixture.sendRequest("read", DEADLINE_MS).body());
        assertEquals(1, last.requests.size(), "requests received by the last endpoint");
    }
}
