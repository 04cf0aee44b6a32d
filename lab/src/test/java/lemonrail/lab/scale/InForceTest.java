package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class InForceTest {

    private static final long MS = 1_000_000;
    private static final double EXACT = 1e-9;

    /** One that has been told versions, at times in ms, in turn: time, version, time, version. */
    private record Sidecar(long sinceNanos, long... told) implements InForce.Known {
        @Override
        public int size() {
            return told.length / 2;
        }

        @Override
        public long atNanos(int place) {
            return told[2 * place] * MS;
        }

        @Override
        public long version(int place) {
            return told[2 * place + 1];
        }
    }

    private static ControlPlane.Applied change(long atMs, long version) {
        return new ControlPlane.Applied(atMs * MS, Map.of("all", version));
    }

    @Test
    void aChangeIsInForceWithTheFirstListThatHasIt() {
        InForce all = new InForce();
        all.add(change(100, 7), "all", List.of(new Sidecar(0, 50, 6, 130, 8, 200, 9),
            new Sidecar(0, 50, 6, 110, 7)));
        assertEquals(2, all.pairs());
        assertEquals(0, all.never());
        assertEquals(10, all.percentileMs(0.5), EXACT);
        assertEquals(30, all.percentileMs(1), EXACT);
        assertEquals(30, all.lastPercentileMs(0.5), EXACT);
    }

    @Test
    void versionsOfBeforeACountAnewDoNotCount() {
        InForce all = new InForce();
        all.add(change(100, 2), "all", List.of(new Sidecar(0, 50, 900, 120, 1, 140, 2)));
        assertEquals(40, all.percentileMs(1), EXACT);
    }

    @Test
    void whoNeverHasItIsCounted() {
        InForce all = new InForce();
        all.add(change(100, 7), "all", List.of(new Sidecar(0, 120, 6), new Sidecar(0, 130, 7)));
        assertEquals(2, all.pairs());
        assertEquals(1, all.never());
        assertTrue(Double.isNaN(all.lastPercentileMs(1)));
    }

    @Test
    void whoStartedLaterIsNotAsked() {
        InForce all = new InForce();
        all.add(change(100, 7), "all", List.of(new Sidecar(101 * MS, 900, 7), new Sidecar(0, 130, 7)));
        assertEquals(1, all.pairs());
        assertEquals(30, all.percentileMs(1), EXACT);
    }

    @Test
    void otherListsAreNotThatOne() {
        assertTrue(change(0, 3).isIn("all", 3));
        assertTrue(!change(0, 3).isIn("all", 2));
        assertTrue(!change(0, 3).isIn("service-1", 9));
    }
}
