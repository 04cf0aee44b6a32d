package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Checks which slot, endpoint and zone a request uses. */
class SlotSelectionTest {

    /** How many of 20 requests leave the zone once its responses take {@code nearMs} and others' {@code farMs}. */
    private static int requestsThatLeaveTheZone(double nearMs, double farMs) {
        Fixture f = Fixture.of(2, 0, 1);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            endpoints.add(new Endpoint("s" + i, i % 2, 0, 0, 0, EndpointState.READY, 1));
        }
        f.list(endpoints);
        int left = 0;
        for (int i = 0; i < 120; i++) {
            f.now += 200;
            f.request(Fixture.IDEMPOTENT);
            RecordingHost.StartedAttempt sent = f.host.last();
            boolean far = Integer.parseInt(sent.endpoint().substring(1)) % 2 == 1;
            f.finish(sent, AttemptOutcome.OK, i < 50 ? 50 : far ? farMs : nearMs);
            left += far && i >= 100 ? 1 : 0;
        }
        return left;
    }

    @Test
    void requestsStayInTheirZoneWhileOthersAreNotBetter() {
        assertEquals(0, requestsThatLeaveTheZone(50, 50));
    }

    @Test
    void requestsLeaveAZoneThatIsOverloadedWhileOthersAreNot() {
        int left = requestsThatLeaveTheZone(700, 60);
        assertTrue(left >= 15, left + " of 20 left the zone");
    }

    @Test
    void requestsUseFreeSlotsInOrderOfRank() {
        int balancers = 5;
        int own = 2;
        Fixture f = Fixture.of(balancers, own, 1).list(Fixture.endpoints(4));
        record Slot(String endpoint, double rank) {}
        List<String> inHashOrder = Fixture.endpoints(4).stream()
                .map(Endpoint::id)
                .sorted(Comparator.comparingLong(Fixture::hash))
                .toList();
        List<Slot> expected = new ArrayList<>();
        for (int s = 0; s < 4; s++) {
            double place = balancers * (1 - s / 4.0);
            for (int k = 0; k < 4; k++) {
                expected.add(new Slot(inHashOrder.get(s), k * balancers + (own + place) % balancers));
            }
        }
        expected.sort(Comparator.comparingDouble(Slot::rank));
        for (int i = 0; i < 12; i++) {
            f.request(Fixture.IDEMPOTENT);
            assertEquals(expected.get(i).endpoint(), f.host.last().endpoint(), "request " + i);
        }
    }

    @Test
    void freedSlotIsUsedAgainBeforeHigherOnes() {
        Fixture f = Fixture.of(3, 0, 1).list(Fixture.endpoints(5));
        f.request(Fixture.IDEMPOTENT);
        RecordingHost.StartedAttempt first = f.host.last();
        f.request(Fixture.IDEMPOTENT);
        f.finish(first, AttemptOutcome.OK, 10);
        f.request(Fixture.IDEMPOTENT);
        assertEquals(first.endpoint(), f.host.last().endpoint());
    }

    @Test
    void lowestSlotsOfAllBalancersAreSpreadByWeight() {
        Map<String, Integer> firsts = new HashMap<>();
        List<Endpoint> endpoints = new ArrayList<>(Fixture.endpoints(8));
        endpoints.set(3, new Endpoint("s3", 0, 0, 0, 0, EndpointState.READY, 3));
        for (int own = 0; own < 200; own++) {
            Fixture f = Fixture.of(200, own, 1).list(endpoints);
            f.request(Fixture.IDEMPOTENT);
            firsts.merge(f.host.last().endpoint(), 1, Integer::sum);
        }
        for (Endpoint endpoint : endpoints) {
            // Each of the sixteen rings rounds to whole balancers by itself.
            assertEquals(20 * endpoint.weight(), firsts.get(endpoint.id()), 4, endpoint.id());
        }
    }

    /** The first endpoint of each of 200 balancers with this list, once those in {@code without} are full. */
    private static List<String> firstEndpoints(List<Endpoint> endpoints, Set<String> without) {
        List<String> firsts = new ArrayList<>();
        for (int own = 0; own < 200; own++) {
            Fixture f = Fixture.of(200, own, 1).list(endpoints);
            for (String id : without) {
                f.request(Fixture.IDEMPOTENT);
                while (f.host.last().endpoint().equals(id)) {
                    f.finish(f.host.last(), AttemptOutcome.QUEUE_FULL, 1);
                }
            }
            f.request(Fixture.IDEMPOTENT);
            firsts.add(f.host.last().endpoint());
        }
        return firsts;
    }

    /** Guards against one neighbour that gets all requests of an endpoint that is full, slow or cold (h68f2a6). */
    @Test
    void requestsThatLeaveAnEndpointAreSpreadOverSeveralOthers() {
        List<String> before = firstEndpoints(Fixture.endpoints(8), Set.of());
        List<String> after = firstEndpoints(Fixture.endpoints(8), Set.of("s2"));
        Set<String> next = new HashSet<>();
        for (int own = 0; own < 200; own++) {
            if (before.get(own).equals("s2")) {
                next.add(after.get(own));
            }
        }
        assertTrue(next.size() >= 4, "all went to " + next);
    }

    /** Guards against cold endpoints that send all of their requests to others, or take them all (h68f2a6). */
    @Test
    void endpointWarmingUpKeepsItsFractionOfRequests() {
        List<Endpoint> endpoints = new ArrayList<>(Fixture.endpoints(8));
        endpoints.set(3, Fixture.endpoint("s3", 0, 1_000_000 - 1, EndpointState.READY));
        int cold = Collections.frequency(firstEndpoints(endpoints, Set.of()), "s3");
        assertTrue(cold >= 5 && cold <= 10, cold + " of 25, at three tenths of its capacity");
    }

    @Test
    void equalRanksGoToTheLowerHash() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(6));
        f.request(Fixture.IDEMPOTENT);
        String lowest = Fixture.endpoints(6).stream()
                .map(Endpoint::id)
                .min(Comparator.comparingLong(Fixture::hash))
                .orElseThrow();
        assertEquals(lowest, f.host.last().endpoint());
    }

    /** Guards against an overloaded or slow endpoint that keeps its callers because it is their lowest rank. */
    @Test
    void slowEndpointLosesEvenItsLowestRanks() {
        Fixture f = Fixture.of(50, 0, 1).list(Fixture.endpoints(10));
        f.request(Fixture.IDEMPOTENT);
        String favourite = f.host.last().endpoint();
        int uses = 0;
        for (int i = 0; i < 60; i++) {
            RecordingHost.StartedAttempt sent = f.host.last();
            f.now += 100;
            f.finish(sent, AttemptOutcome.OK, sent.endpoint().equals(favourite) ? 700 : 100);
            f.request(Fixture.IDEMPOTENT);
            uses += i >= 30 && f.host.last().endpoint().equals(favourite) ? 1 : 0;
        }
        assertEquals(0, uses, "requests it still got");
    }

    /** Guards against many balancers flooding an endpoint that has just started: one request each is too much. */
    @Test
    void endpointWarmingUpGetsNoMoreThanItsFraction() {
        int balancers = 100;
        int users = 0;
        for (int own = 0; own < balancers; own++) {
            Fixture f = Fixture.of(balancers, own, 1);
            f.list(List.of(Fixture.endpoint("cold", 0, f.now - 100, EndpointState.READY), Fixture.endpoint("warm")));
            for (int i = 0; i < 3; i++) {
                f.request(Fixture.IDEMPOTENT);
            }
            users += (int) f.host.started.stream()
                    .filter(s -> s.endpoint().equals("cold"))
                    .count();
        }
        // Its even part of 100 balancers is 50, the warm part of that 15; rings round by themselves.
        assertTrue(users > 0 && users <= 20, "requests in flight " + users);
    }
}
