package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A sidecar among 1,024 before 1,024 endpoints: no list or table of the process ends below either. */
class FleetSizeTest {

    private static final int SIZE = 1024;
    private static final int VERSION = 7;
    private static final int DEADLINE_MS = 9000;

    private SidecarFixture fixture;
    private StubEndpoint last;

    @AfterEach
    void close() throws Exception {
        fixture.close();
        last.close();
    }

    /** Where nothing listens, but for the last one. */
    private String address(int number) {
        return number == SIZE - 1 ? last.address() : "127.1." + number / 256 + "." + number % 256 + ":9";
    }

    private String list() {
        return SidecarFixture.list(
                VERSION,
                true,
                IntStream.range(0, SIZE)
                        .mapToObj(number -> SidecarFixture.line(number, address(number), "in_service", 0))
                        .toArray(String[]::new));
    }

    /** Guards against entries that are lost at the end of a list, and a bound on those out by hand. */
    @Test
    void lastEndpointServesWhileAllOthersAreSuspended() throws Exception {
        last = StubEndpoint.respondingWith(200, "", "the last");
        fixture = new SidecarFixture();
        fixture.change = config -> config.replace(
                "\"replicas-of-me\":1,\"slot-no\":0", "\"replicas-of-me\":" + SIZE + ",\"slot-no\":" + (SIZE - 1));
        fixture.discovery.requestHandler = (wire, request) -> {
            fixture.discovery.requestHandler = (next, later) -> next.awaitEnd();
            StubEndpoint.respond(wire, 200, "", list());
        };
        fixture.start();
        SidecarFixture.await(
                "the list is there",
                () -> fixture.discovery.requests.stream()
                        .anyMatch(request -> request.line().contains("index=" + VERSION)));
        for (int number = 0; number < SIZE - 1; number++) {
            String id = "s" + number;
            assertEquals(
                    200,
                    fixture.callAdmin("PUT", "/v1/endpoints/" + id + "/suspend").status(),
                    id);
        }
        assertEquals("the last", fixture.ask("read", DEADLINE_MS).body());
        assertEquals(1, last.requests.size(), "calls that it got");
    }
}
