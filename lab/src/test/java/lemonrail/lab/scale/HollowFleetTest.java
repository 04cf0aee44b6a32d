package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import lemonrail.config.ConfigSource;
import lemonrail.config.EdgeConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Hollow sidecars are told by the real code, and what their deciders have is what control says. */
@Timeout(60)
class HollowFleetTest {

    private static final Site SITE = new Site(30, 3, 2, 2, 4);
    private static final int COUNT = 6;
    private static final long MOST_NANOS = 20_000_000_000L;

    @TempDir
    private Path folder;

    private final RegistryControlPlane plane = new RegistryControlPlane();
    private HollowFleet fleet;

    @BeforeEach
    void open() throws Exception {
        InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        EdgeConfig config = ConfigSource.of(
                        PlatformConfig.write(
                                folder.resolve("hollow.json"), "hollow", nowhere, nowhere, COUNT, SITE.zoneNames()),
                        Map.of("TMPDIR", folder.toString()))
                .load()
                .config();
        plane.list(Site.ALL, SITE.lines());
        fleet = new HollowFleet(2, config, 1);
        fleet.start(IntStream.range(0, COUNT).boxed().toList(), plane, number -> Site.ALL, number -> 0);
        await(() -> knowing() == COUNT);
    }

    @AfterEach
    void close() {
        fleet.close();
        plane.close();
    }

    private int knowing() {
        return fleet.knowing(Map.of(Site.ALL, plane.lines(Site.ALL)));
    }

    private static void await(BooleanSupplier what) {
        long until = System.nanoTime() + MOST_NANOS;
        while (!what.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "it did not come to it in time");
            Thread.onSpinWait();
        }
    }

    @Test
    void eachChangeReachesEachDecider() {
        plane.apply(0, Map.of(Site.ALL, List.of(SITE.line(3).weighing(2))));
        await(() -> knowing() == COUNT);
        plane.apply(
                0,
                Map.of(
                        Site.ALL,
                        List.of(
                                SITE.line(4).with(EndpointEntry.State.TERMINATING),
                                SITE.line(5).with(EndpointEntry.State.TERMINATED),
                                SITE.line(6).started(77))));
        await(() -> knowing() == COUNT);
        assertEquals(COUNT, fleet.wholeLists(), "the whole list comes once to each, then changes");
    }

    @Test
    void whoHasAnotherListThanControlIsSeen() {
        Map<String, EndpointEntry> lines = new HashMap<>(plane.lines(Site.ALL));
        lines.put(SITE.line(1).id(), SITE.line(1).weighing(9));
        assertEquals(0, fleet.knowing(Map.of(Site.ALL, lines)));
        lines.remove(SITE.line(1).id());
        assertEquals(0, fleet.knowing(Map.of(Site.ALL, lines)));
    }

    @Test
    void aMoveTakesTheWholeListAnew() {
        fleet.elsewhere();
        await(() -> fleet.wholeLists() == 2 * COUNT);
        assertEquals(COUNT, knowing());
    }

    @Test
    void aStoppedOneAsksNoMore() {
        fleet.stop(List.of(0, 1, 2, 3, 4));
        assertEquals(1, fleet.sidecars().size());
        for (int weight = 2; weight < 5; weight++) {
            long version = plane.apply(0, Map.of(Site.ALL, List.of(SITE.line(3).weighing(weight))))
                    .versions()
                    .get(Site.ALL);
            int[] asked = new int[1];
            await(() -> {
                asked[0] += (int) plane.heard("hollow").stream()
                        .filter(call -> call.version() >= version)
                        .count();
                return asked[0] > 0 && knowing() == 1;
            });
            assertEquals(1, asked[0], "one runs, and it asks on once");
        }
    }

    @Test
    void whenAWordCameIsKnown() {
        EndpointEntry word = SITE.line(3).weighing(2);
        long before = System.nanoTime();
        plane.apply(0, Map.of(Site.ALL, List.of(word)));
        await(() -> knowing() == COUNT);
        for (HollowSidecar sidecar : fleet.sidecars()) {
            long had = sidecar.hadNanos(word, before);
            assertTrue(had > before && had <= System.nanoTime(), "had it at " + had);
            assertEquals(-1, sidecar.hadNanos(SITE.line(3).weighing(3), before), "a later word has not come");
            assertEquals(had, sidecar.hadNanos(SITE.line(3).weighing(1.5), before), "it has an older one");
        }
        plane.apply(0, Map.of(Site.ALL, List.of(word.with(EndpointEntry.State.TERMINATED))));
        await(() -> knowing() == COUNT);
        fleet.forget();
        for (HollowSidecar sidecar : fleet.sidecars()) {
            assertTrue(sidecar.hadNanos(SITE.line(3).weighing(9), before) > 0, "gone for good");
        }
    }
}
