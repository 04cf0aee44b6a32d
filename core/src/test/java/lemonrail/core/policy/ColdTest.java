package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import lemonrail.core.Contract.State;
import org.junit.jupiter.api.Test;

/** What a server that has just started is given, and what it is given once it is warm. */
class ColdTest {

    private static final int LOWER_TIER = 1;

    /** Guards against a server that keeps to the one slot of its start until something else re-offers it. */
    @Test
    void aServerThatTurnsWarmGetsMoreThanOneCallAtOnce() {
        Fixture f = Fixture.of(1, 0, LOWER_TIER);
        f.list(List.of(Fixture.server("cold", 0, f.now, State.READY)));
        f.request(Fixture.REPEATABLE);
        f.request(Fixture.REPEATABLE);
        assertEquals(1, f.host.sent.size(), "one call at a time while it is cold");
        f.now += 8000;
        f.request(Fixture.REPEATABLE);
        f.request(Fixture.REPEATABLE);
        assertEquals(3, f.host.sent.size(), "two more now that it is warm, beside the one still out");
    }
}
