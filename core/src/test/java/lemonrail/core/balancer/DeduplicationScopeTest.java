package lemonrail.core.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks which endpoints a deduplication scope includes. */
class DeduplicationScopeTest {

    @Test
    void scopeIncludesEndpointsOfSameZoneOrCell() {
        Endpoint one = new Endpoint("one", 1, 0, 7, 0, EndpointState.READY, 1);
        Endpoint other = new Endpoint("other", 1, 0, 8, 0, EndpointState.READY, 1);
        assertTrue(DeduplicationScope.ALL.includesBoth(one, other));
        assertTrue(DeduplicationScope.ZONE.includesBoth(one, other));
        assertFalse(DeduplicationScope.CELL.includesBoth(one, other));
        assertEquals(
                EndpointState.DRAINING, one.withState(EndpointState.DRAINING).state());
    }
}
