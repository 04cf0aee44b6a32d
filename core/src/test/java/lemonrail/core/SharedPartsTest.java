package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import org.junit.jupiter.api.Test;

/** What the deciders share: rates, hashes, rings and answer times. */
class SharedPartsTest {

    @Test
    void aBucketSavesUpToItsBoundAndNoMore() {
        TokenBucket bucket = new TokenBucket(0.01, 3);
        for (int i = 0; i < 3; i++) {
            assertTrue(bucket.tryTake(1000));
        }
        assertFalse(bucket.tryTake(1000));
        assertFalse(bucket.tryTake(1099));
        assertTrue(bucket.tryTake(1100));
        for (int i = 0; i < 3; i++) {
            assertTrue(bucket.tryTake(1_000_000));
        }
        assertFalse(bucket.tryTake(1_000_000));
    }

    /** Guards against news that a silent watch keeps from a sidecar, and against fleets that ask in step. */
    @Test
    void watchesAreShortAndTheFleetsCallsFew() {
        assertEquals(1000, WatchSchedule.ofFleet(1, 1000, 1).waitMs());
        assertEquals(1000, WatchSchedule.ofFleet(14, 1000, 1).waitMs());
        assertEquals(1000, WatchSchedule.ofFleet(100, 1000, 1).waitMs());
        assertEquals(2500, WatchSchedule.ofFleet(250, 1000, 1).waitMs());
        assertEquals(3000, WatchSchedule.ofFleet(550, 1000, 1).waitMs());
        assertEquals(3000, WatchSchedule.ofFleet(100_000, 1000, 1).waitMs());
        List<Double> first = IntStream.range(0, 50)
                .mapToObj(i -> new WatchSchedule(1000, 1000, i).onFailure())
                .toList();
        assertEquals(50, first.stream().distinct().count(), "not in step");
        assertTrue(first.stream().allMatch(pause -> pause >= 50 && pause < 150), first.toString());
        WatchSchedule pace = new WatchSchedule(1000, 3000, 7);
        double last = IntStream.range(0, 10).mapToDouble(i -> pace.onFailure()).reduce(0, (a, b) -> b);
        assertTrue(last >= 500 && last < 1500, "longer and longer, within bounds: " + last);
        pace.onResponse();
        assertTrue(pace.onFailure() < 150);
    }

    /**
     * Guards against changes that are known too late: one that comes as a watch is asked that dies then, and
     * after it so many calls more that get no answer, each after its pause.
     */
    @Test
    void whatDeadWatchesMissIsAskedForInTime() {
        for (int instances : new int[] {1, 100, 550, 1000, 100_000}) {
            for (double graceMs : new double[] {0, 1000, 60_000}) {
                for (int seed = 0; seed < 200; seed++) {
                    WatchSchedule pace = WatchSchedule.ofFleet(instances, graceMs, seed);
                    String who = instances + ", " + graceMs + ", " + seed;
                    double askedMs = noticedMs(pace);
                    assertTrue(askedMs <= 4000, who + ": " + askedMs);
                    assertTrue(askedMs + WatchSchedule.responseTimeoutMs() <= 6000, "an answer in pieces: " + who);
                    askedMs += noticedMs(pace);
                    assertTrue(askedMs <= 5000, who + ": " + askedMs);
                    askedMs += noticedMs(pace);
                    assertTrue(askedMs < 6000, who + ": " + askedMs);
                    pace.onResponse();
                    assertTrue(pace.waitMs() >= 1000, "a long wait again: " + who);
                }
            }
        }
    }

    /** Until the next call after one that is made now and gets no answer. */
    private static double noticedMs(WatchSchedule pace) {
        return pace.waitMs() + WatchSchedule.silenceTimeoutMs() + pace.onFailure();
    }

    /** Guards against pauses that keep from a sidecar what discovery has at its return. */
    @Test
    void noPauseKeepsNewsForLong() {
        WatchSchedule pace = WatchSchedule.ofFleet(1000, 60_000, 7);
        double longest =
                IntStream.range(0, 500).mapToDouble(i -> pace.onFailure()).max().orElseThrow();
        assertTrue(longest + noticedMs(pace) < 6000, longest + ", and one more call in vain");
    }

    /** Guards against sends to a drained server after discovery's return: what it has then binds at once. */
    @Test
    void noPauseOutlastsHalfTheTimeInWhichSendsMustCease() {
        for (double graceMs : new double[] {300, 1000, 2500}) {
            WatchSchedule pace = new WatchSchedule(1000, graceMs, 7);
            double longest = IntStream.range(0, 500)
                    .mapToDouble(i -> pace.onFailure())
                    .max()
                    .orElseThrow();
            assertTrue(longest <= graceMs / 2 && longest > graceMs / 4, graceMs + ": " + longest);
        }
        assertTrue(new WatchSchedule(1000, 0, 7).onFailure() >= 50, "it never spins");
    }

    @Test
    void aHashIsTheSameInEveryVersion() {
        // Worked out apart, by the steps that the design page names.
        assertEquals(0x811c9dc5L, unmixed(""));
        assertEquals(mixed((int) unmixed("s-5be2a07c")), StableHash.of("s-5be2a07c"));
        assertNotEquals(StableHash.of("a"), StableHash.of("b"));
    }

    private static long unmixed(String text) {
        long h = 0x811c9dc5L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x01000193L & 0xffffffffL;
        }
        return h;
    }

    private static long mixed(int h) {
        int a = (h ^ h >>> 16) * 0x7feb352d;
        return (a ^ a >>> 15) & 0xffffffffL;
    }

    @Test
    void arcsAreAsWideAsWeightsInEachGroup() {
        Map<String, Double> places = new HashMap<>();
        RingPlacement.place(
                List.of("a1", "b1", "a2", "a3"),
                name -> name.charAt(0),
                name -> Character.digit(name.charAt(1), 10),
                places::put);
        assertEquals(1, places.get("a1"));
        assertEquals(1 - 1 / 6.0, places.get("a2"), 1e-12);
        assertEquals(1 - 3 / 6.0, places.get("a3"), 1e-12);
        assertEquals(1, places.get("b1"));
    }

    @Test
    void eachRingHasAnOrderOfItsOwn() {
        List<Long> hashes =
                IntStream.range(0, 50).mapToObj(i -> StableHash.of("s" + i)).toList();
        assertEquals(
                hashes,
                hashes.stream().map(hash -> RingPlacement.order(hash, 0)).toList());
        List<Long> first = hashes.stream()
                .sorted(Comparator.comparing(h -> RingPlacement.order(h, 1)))
                .toList();
        List<Long> second = hashes.stream()
                .sorted(Comparator.comparing(h -> RingPlacement.order(h, 2)))
                .toList();
        assertNotEquals(first, second);
    }

    @Test
    void answerTimesStartFromTheClassAndFollowWhatComes() {
        LatencyEstimator times = new LatencyEstimator(
                new RequestClass("read", 1000, 3000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertEquals(250, times.typicalMs());
        assertEquals(250, times.baseMs());
        assertEquals(1000, times.tailMs());
        for (int i = 0; i < 2000; i++) {
            times.recordElapsed(i % 50 == 0 ? 400 : 100);
            times.recordResponse(100);
        }
        assertEquals(100, times.typicalMs(), 0.1);
        assertEquals(100, times.baseMs(), 0.1);
        assertTrue(times.tailMs() > 100 && times.tailMs() < 450, "" + times.tailMs());
        for (int i = 0; i < 500; i++) {
            times.recordElapsed(9000);
        }
        assertEquals(3000, times.tailMs(), "no more than the deadline");
    }

    @Test
    void warmthGrowsEvenlyFromTheStart() {
        SlowStartSettings slowStart = new SlowStartSettings(0.2, 1000, 3, 1000);
        assertEquals(1, slowStart.warmUpFraction(5, 0), "0 is long ago");
        assertEquals(0.2, slowStart.warmUpFraction(5000, 5000));
        assertEquals(0.6, slowStart.warmUpFraction(5500, 5000), 1e-12);
        assertEquals(1, slowStart.warmUpFraction(6000, 5000));
        assertEquals(0.2, slowStart.warmUpFraction(4000, 5000), "clocks may disagree");
    }

    @Test
    void groupsHoldServersOfOneZoneOrRack() {
        Endpoint one = new Endpoint("one", 1, 0, 7, 0, EndpointState.READY, 1);
        Endpoint other = new Endpoint("other", 1, 0, 8, 0, EndpointState.READY, 1);
        assertTrue(DeduplicationScope.ALL.includesBoth(one, other));
        assertTrue(DeduplicationScope.ZONE.includesBoth(one, other));
        assertFalse(DeduplicationScope.CELL.includesBoth(one, other));
        assertEquals(
                EndpointState.DRAINING, one.withState(EndpointState.DRAINING).state());
    }

    /** Guards against servers that are ejectedEndpoints by chance, and against dead ones that pass for chance. */
    @Test
    void failedDialsAreChanceWhereServersThatAreWellHaveThemToo() {
        ConnectFailureRate calm = new ConnectFailureRate();
        calm.recordSuccess(0);
        assertFalse(calm.isProbablyChance(1), "none fails where all is well");
        ConnectFailureRate late = new ConnectFailureRate();
        Random random = new Random(5);
        for (int i = 0; i < 200; i++) {
            int failed = 0;
            while (random.nextInt(3) == 0) {
                failed++;
            }
            late.recordSuccess(failed);
        }
        assertTrue(late.isProbablyChance(1), "one in three fails");
        assertFalse(late.isProbablyChance(4), "four in a row are beyond that");
        ConnectFailureRate back = new ConnectFailureRate();
        back.recordSuccess(9);
        assertFalse(back.isProbablyChance(2), "a server that was away for a while makes no others' failures chance");
    }
}
