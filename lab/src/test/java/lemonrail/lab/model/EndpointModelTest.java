package lemonrail.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lemonrail.lab.model.EndpointShape.ColdStart;
import lemonrail.lab.model.EndpointShape.Crowding;
import lemonrail.lab.model.EndpointShape.Warming;
import org.junit.jupiter.api.Test;

class EndpointModelTest {

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final Rack rack = new Rack(scheduler, 10_000);
    private final List<String> events = new ArrayList<>();

    private EndpointModel endpoint(int slots, int queueCapacity, ColdStart cold, Crowding crowding) {
        return new EndpointModel(
                scheduler, new EndpointShape("e", 0, 1, 1, slots, queueCapacity, 3, 50, cold, crowding), rack);
    }

    private Work work(String name, String key, double ms, int calls) {
        return new Work(key, ms, calls) {
            @Override
            protected void onStarted() {
                events.add(name + " began " + Math.round(scheduler.nowMs()));
            }

            @Override
            protected void callNextTier(Consumer<Boolean> done) {
                events.add(name + " calls " + Math.round(scheduler.nowMs()));
                scheduler.after(30, () -> done.accept(!name.equals("unlucky")));
            }

            @Override
            protected void onAnswered(Answer answer) {
                events.add(name + " " + answer + " " + Math.round(scheduler.nowMs()));
            }
        };
    }

    @Test
    void requestsFillSlotsThenTheQueueAndAreThenRejected() {
        EndpointModel endpoint = endpoint(1, 1, ColdStart.NONE, Crowding.NONE);
        endpoint.offer(work("a", null, 100, 0));
        endpoint.offer(work("b", null, 100, 0));
        endpoint.offer(work("c", null, 100, 0));
        scheduler.runUntil(1000);
        assertEquals(List.of("a began 0", "c TURNED_AWAY 0", "b began 100", "a SERVED 100", "b SERVED 200"), events);
        assertEquals(2, endpoint.maxHeld());
    }

    @Test
    void callToTheNextTierKeepsTheSlotAndItsFailureEndsTheRequest() {
        EndpointModel endpoint = endpoint(1, 5, ColdStart.NONE, Crowding.NONE);
        endpoint.offer(work("a", null, 100, 2));
        endpoint.offer(work("unlucky", null, 100, 2));
        scheduler.runUntil(1000);
        assertEquals(
                List.of(
                        "a began 0",
                        "a calls 50",
                        "a calls 80",
                        "unlucky began 160",
                        "a SERVED 160",
                        "unlucky calls 210",
                        "unlucky ERROR 240"),
                events);
    }

    @Test
    void cancelledRequestStopsAndFreesItsSlot() {
        EndpointModel endpoint = endpoint(1, 5, ColdStart.NONE, Crowding.NONE);
        Work cancelled = work("a", null, 100, 0);
        endpoint.offer(cancelled);
        endpoint.offer(work("b", null, 100, 0));
        scheduler.after(40, () -> endpoint.cancel(cancelled));
        scheduler.runUntil(1000);
        assertEquals(List.of("a began 0", "b began 40", "b SERVED 140"), events);
        assertEquals(140, endpoint.workDoneMs(), 1e-6);
    }

    @Test
    void rackDropsRepeatedRequestsWithinItsWindowAndOtherRacksDoNot() {
        EndpointModel one = endpoint(9, 0, ColdStart.NONE, Crowding.NONE);
        EndpointModel other = endpoint(9, 0, ColdStart.NONE, Crowding.NONE);
        EndpointModel far = new EndpointModel(scheduler, one.shape(), new Rack(scheduler, 10_000));
        one.offer(work("a", "k", 100, 0));
        scheduler.after(50, () -> other.offer(work("repeat", "k", 100, 0)));
        scheduler.after(60, () -> far.offer(work("far", "k", 100, 0)));
        scheduler.after(10_001, () -> other.offer(work("late", "k", 100, 0)));
        scheduler.runUntil(20_000);
        assertEquals(
                List.of(
                        "a began 0",
                        "repeat SERVED 50",
                        "far began 60",
                        "a SERVED 100",
                        "far SERVED 160",
                        "late began 10001",
                        "late SERVED 10101"),
                events);
    }

    @Test
    void hangingEndpointDoesNotAnswerRepeatedRequests() {
        EndpointModel endpoint = endpoint(9, 0, ColdStart.NONE, Crowding.NONE);
        endpoint.offer(work("a", "k", 100, 1));
        endpoint.hang(true);
        endpoint.offer(work("repeat", "k", 100, 1));
        scheduler.runUntil(1000);
        assertEquals(List.of("a began 0"), events);
        endpoint.hang(false);
        scheduler.runUntil(2000);
        assertEquals(List.of("a began 0", "repeat SERVED 1000", "a calls 1050", "a SERVED 1130"), events);
    }

    @Test
    void endpointWarmingByTimeWorksAtItsPresentCapacity() {
        EndpointModel endpoint = endpoint(1, 5, new ColdStart(0.2, 1000, Warming.TIME, 99, 3000), Crowding.NONE);
        endpoint.start();
        assertEquals(0.2, endpoint.capacityFraction(), 1e-9);
        endpoint.offer(work("a", null, 600, 0));
        scheduler.runUntil(995);
        // Capacity rises linearly from a fifth to full capacity, so that 0.6 s of work take 1 s.
        assertEquals(1, events.size());
        scheduler.runUntil(1030);
        assertEquals(2, events.size());
        assertEquals(1, endpoint.capacityFraction(), 1e-9);
    }

    @Test
    void endpointWarmingByWorkWarmsFasterUnderLoad() {
        ColdStart cold = new ColdStart(0.5, 1000, Warming.WORK, 99, 3000);
        EndpointModel busy = endpoint(1, 5, cold, Crowding.NONE);
        EndpointModel idle = endpoint(1, 5, cold, Crowding.NONE);
        scheduler.after(0, busy::start);
        scheduler.after(0, idle::start);
        scheduler.after(0, () -> busy.offer(work("a", null, 5000, 0)));
        scheduler.runUntil(500);
        assertEquals(0.75, idle.capacityFraction(), 1e-9);
        assertEquals(0.75, busy.capacityFraction(), 0.001);
        scheduler.runUntil(900);
        busy.workDoneMs();
        assertTrue(
                busy.capacityFraction() >= idle.capacityFraction(),
                "a busy endpoint warms at least as fast as an idle one");
    }

    @Test
    void overloadedColdEndpointCollapsesUntilItRestarts() {
        ColdStart cold = new ColdStart(0.1, 10_000, Warming.TIME, 3, 3000);
        EndpointModel endpoint = endpoint(50, 50, cold, Crowding.NONE);
        endpoint.start();
        // The endpoint tolerates 3 x 0.1 x 3000 ms of work.
        for (int i = 0; i < 8; i++) {
            endpoint.offer(work("w" + i, null, 100, 0));
        }
        assertFalse(endpoint.hasCollapsed());
        endpoint.offer(work("last", null, 150, 0));
        assertTrue(endpoint.hasCollapsed());
        scheduler.runUntil(60_000);
        assertEquals(8, events.size(), "a collapsed endpoint sends no more responses");
        endpoint.start();
        assertFalse(endpoint.hasCollapsed());
    }

    @Test
    void crowdedEndpointStaysSlowUntilItHasBeenIdle() {
        EndpointModel endpoint = endpoint(50, 50, ColdStart.NONE, new Crowding(4, 1000, 2, 500, 60_000));
        for (int i = 0; i < 6; i++) {
            endpoint.offer(work("w" + i, null, 400, 0));
        }
        scheduler.runUntil(990);
        assertFalse(endpoint.isCrowded());
        scheduler.runUntil(1040);
        assertTrue(endpoint.isCrowded());
        // 2400 ms of work: 1000 at full speed, the rest at half.
        scheduler.runUntil(3700);
        assertEquals(6, events.size());
        scheduler.runUntil(4000);
        assertEquals(12, events.size());
        assertTrue(endpoint.isCrowded());
        scheduler.runUntil(4500);
        assertFalse(endpoint.isCrowded());
    }

    @Test
    void shortBurstDoesNotMakeAnEndpointCrowded() {
        EndpointModel endpoint = endpoint(50, 50, ColdStart.NONE, new Crowding(4, 1000, 2, 500, 60_000));
        for (int i = 0; i < 6; i++) {
            endpoint.offer(work("w" + i, null, 150, 0));
        }
        scheduler.runUntil(5000);
        assertFalse(endpoint.isCrowded());
        assertEquals("w5 SERVED 900", events.get(11));
    }

    @Test
    void connectionsAreLimitedAndCostAHandshake() {
        EndpointModel endpoint = endpoint(1, 5, ColdStart.NONE, Crowding.NONE);
        for (int i = 0; i < 3; i++) {
            assertTrue(endpoint.connect());
        }
        assertFalse(endpoint.connect());
        endpoint.disconnect();
        assertTrue(endpoint.connect());
        endpoint.handshake(() -> endpoint.offer(work("a", null, 100, 0)));
        scheduler.runUntil(1000);
        assertEquals(List.of("a began 50", "a SERVED 150"), events);
        assertEquals(150, endpoint.workDoneMs(), 1e-6);
    }

    @Test
    void drainingEndpointFinishesItsRequestsAndRejectsNewOnes() {
        EndpointModel endpoint = endpoint(1, 5, ColdStart.NONE, Crowding.NONE);
        endpoint.offer(work("a", null, 100, 0));
        endpoint.drain(true);
        endpoint.offer(work("b", null, 100, 0));
        scheduler.runUntil(1000);
        assertEquals(List.of("a began 0", "b TURNED_AWAY 0", "a SERVED 100"), events);
    }

    @Test
    void vanishedEndpointIsSilentAndRestartsColdAndEmpty() {
        EndpointModel endpoint = endpoint(1, 5, new ColdStart(0.2, 1000, Warming.TIME, 99, 3000), Crowding.NONE);
        endpoint.offer(work("a", null, 100, 0));
        scheduler.after(50, endpoint::vanish);
        scheduler.after(60, () -> endpoint.offer(work("b", null, 100, 0)));
        scheduler.after(500, endpoint::start);
        scheduler.runUntil(500);
        assertTrue(endpoint.connect());
        assertEquals(0.2, endpoint.capacityFraction(), 1e-9);
        assertEquals(0, endpoint.held());
        scheduler.runUntil(5000);
        assertEquals(List.of("a began 0"), events);
    }
}
