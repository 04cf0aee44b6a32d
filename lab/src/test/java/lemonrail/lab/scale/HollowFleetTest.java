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

/** Checks that hollow sidecars receive changes by the code of real ones and end up with the list that control has. */
@Timeout(60)
class HollowFleetTest {

    private static final Site SITE = new Site(30, 3, 2, 2, 4);
    private static final int COUNT = 6;
    private static final long AWAIT_TIMEOUT_NANOS = 20_000_000_000L;

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
        plane.replaceList(Site.ALL, SITE.createEntries());
        fleet = new HollowFleet(2, config, 1);
        fleet.start(IntStream.range(0, COUNT).boxed().toList(), plane, number -> Site.ALL, number -> 0);
        await(() -> countUpToDate() == COUNT);
    }

    @AfterEach
    void close() {
        fleet.close();
        plane.close();
    }

    private int countUpToDate() {
        return fleet.countUpToDate(Map.of(Site.ALL, plane.entries(Site.ALL)));
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, "the condition was not met within 20 s");
            Thread.onSpinWait();
        }
    }

    @Test
    void everyChangeReachesEverySidecar() {
        plane.apply(0, Map.of(Site.ALL, List.of(SITE.createEntry(3).withWeight(2))));
        await(() -> countUpToDate() == COUNT);
        plane.apply(
                0,
                Map.of(
                        Site.ALL,
                        List.of(
                                SITE.createEntry(4).withState(EndpointEntry.State.TERMINATING),
                                SITE.createEntry(5).withState(EndpointEntry.State.TERMINATED),
                                SITE.createEntry(6).restartedAt(77))));
        await(() -> countUpToDate() == COUNT);
        assertEquals(COUNT, fleet.fullListCount(), "each sidecar gets one full list and then only changes");
    }

    @Test
    void sidecarsWithADifferentListAreDetected() {
        Map<String, EndpointEntry> entries = new HashMap<>(plane.entries(Site.ALL));
        entries.put(SITE.createEntry(1).id(), SITE.createEntry(1).withWeight(9));
        assertEquals(0, fleet.countUpToDate(Map.of(Site.ALL, entries)));
        entries.remove(SITE.createEntry(1).id());
        assertEquals(0, fleet.countUpToDate(Map.of(Site.ALL, entries)));
    }

    @Test
    void moveToAnotherAddressFetchesAFullList() {
        fleet.moveToOtherAddress();
        await(() -> fleet.fullListCount() == 2 * COUNT);
        assertEquals(COUNT, countUpToDate());
    }

    @Test
    void stoppedSidecarsSendNoMoreCalls() {
        fleet.stop(List.of(0, 1, 2, 3, 4));
        assertEquals(1, fleet.sidecars().size());
        for (int weight = 2; weight < 5; weight++) {
            long version = plane.apply(
                            0, Map.of(Site.ALL, List.of(SITE.createEntry(3).withWeight(weight))))
                    .versions()
                    .get(Site.ALL);
            int[] calls = new int[1];
            await(() -> {
                calls[0] += (int) plane.takeCalls("hollow").stream()
                        .filter(call -> call.version() >= version)
                        .count();
                return calls[0] > 0 && countUpToDate() == 1;
            });
            assertEquals(1, calls[0], "the one running sidecar sends one further call");
        }
    }

    @Test
    void receiveTimeOfAnUpdateIsRecorded() {
        EndpointEntry update = SITE.createEntry(3).withWeight(2);
        long startNanos = System.nanoTime();
        plane.apply(0, Map.of(Site.ALL, List.of(update)));
        await(() -> countUpToDate() == COUNT);
        for (HollowSidecar sidecar : fleet.sidecars()) {
            long receivedNanos = sidecar.findUpdateNanos(update, startNanos);
            assertTrue(
                    receivedNanos > startNanos && receivedNanos <= System.nanoTime(), "received at " + receivedNanos);
            assertEquals(
                    -1,
                    sidecar.findUpdateNanos(SITE.createEntry(3).withWeight(3), startNanos),
                    "a later update has not been received");
            assertEquals(
                    receivedNanos,
                    sidecar.findUpdateNanos(SITE.createEntry(3).withWeight(1.5), startNanos),
                    "an older update counts as received with the newer one");
        }
        plane.apply(0, Map.of(Site.ALL, List.of(update.withState(EndpointEntry.State.TERMINATED))));
        await(() -> countUpToDate() == COUNT);
        fleet.discardOldUpdates();
        for (HollowSidecar sidecar : fleet.sidecars()) {
            assertTrue(
                    sidecar.findUpdateNanos(SITE.createEntry(3).withWeight(9), startNanos) > 0,
                    "a terminated endpoint counts as received for all earlier updates");
        }
    }
}
