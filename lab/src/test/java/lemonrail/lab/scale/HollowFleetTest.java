package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
    private final RegistryPlane plane = new RegistryPlane();
    private HollowFleet fleet;

    @BeforeEach
    void open() throws Exception {
        InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        EdgeConfig config = ConfigSource.of(PlatformConfig.write(folder.resolve("hollow.json"), "hollow",
            nowhere, nowhere, COUNT, SITE.zoneNames()), Map.of("TMPDIR", folder.toString())).load().config();
        plane.list(Site.ALL, SITE.lines());
        fleet = new HollowFleet(2, config, 1);
        fleet.start(IntStream.range(0, COUNT).boxed().toList(), number -> Site.ALL,
            number -> plane.address(Site.ALL, 0, "hollow-" + number));
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
        plane.apply(Map.of(Site.ALL, List.of(SITE.line(3).weighing(2))));
        await(() -> knowing() == COUNT);
        plane.apply(Map.of(Site.ALL, List.of(SITE.line(4).with(Line.State.TERMINATING),
            SITE.line(5).with(Line.State.TERMINATED), SITE.line(6).started(77))));
        await(() -> knowing() == COUNT);
        assertTrue(fleet.sidecars().stream().allMatch(sidecar -> sidecar.told().stream()
            .filter(HollowSidecar.Told::full).count() == 1), "the whole list comes once, then changes");
    }

    @Test
    void whoHasAnotherListThanControlIsSeen() {
        Map<String, Line> lines = new HashMap<>(plane.lines(Site.ALL));
        lines.put(SITE.line(1).id(), SITE.line(1).weighing(9));
        assertEquals(0, fleet.knowing(Map.of(Site.ALL, lines)));
        lines.remove(SITE.line(1).id());
        assertEquals(0, fleet.knowing(Map.of(Site.ALL, lines)));
    }

    @Test
    void aMoveTakesTheWholeListAnew() {
        fleet.move(number -> plane.address(Site.ALL, 0, "elsewhere"));
        await(() -> fleet.sidecars().stream().allMatch(sidecar -> sidecar.told().stream()
            .filter(HollowSidecar.Told::full).count() == 2));
        assertEquals(COUNT, knowing());
    }

    @Test
    void aStoppedOneAsksNoMore() {
        fleet.stop(List.of(0, 1, 2, 3));
        assertEquals(2, fleet.sidecars().size());
        for (int weight = 2; weight < 4; weight++) {
            long version = plane.apply(Map.of(Site.ALL, List.of(SITE.line(3).weighing(weight)))).versions()
                .get(Site.ALL);
            for (int running : new int[] {4, 5}) {
                await(() -> asked(running, version));
            }
            for (int stopped = 0; stopped < 4; stopped++) {
                assertFalse(asked(stopped, version), "the stopped sidecar " + stopped + " asked on");
            }
        }
    }

    /** Whether a sidecar has asked on from this version since it was last looked. */
    private boolean asked(int number, long version) {
        return plane.heard("hollow-" + number).stream().anyMatch(heard -> heard.version() >= version);
    }
}
