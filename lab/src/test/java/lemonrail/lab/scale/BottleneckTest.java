package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BottleneckTest {

    private static final double STORM_MS = 4000;
    private static final double MAX_PROPAGATION_MS = 3000;
    private static final long BLOCKED_MS = 400;

    @ParameterizedTest
    @CsvSource({
        // CPU time of control, its lag, lag of the hollow sidecars, CPU time of their busiest loop, expected reason
        "400,  20,  50,  900,  ''",
        "400,  101, 50,  900,  control's stand-in was late by 101 ms",
        "3700, 20,  50,  900,  control's stand-in was busy 93 % of the time",
        "400,  20,  1001, 900, the hollow sidecars' loops were late by 1001 ms",
        "400,  20,  50,  3700, a hollow sidecars' loop was busy 93 % of the time",
    })
    void overloadedLabMakesAStormVoid(
            double controlCpuMs, double controlLagMs, double hollowLagMs, double hollowCpuMs, String reason) {
        assertEquals(
                reason,
                Bottleneck.findVoidReason(
                        STORM_MS,
                        new ControlPlane.Cost(controlCpuMs, controlLagMs, controlLagMs, 0, 0, 0),
                        hollowLagMs,
                        hollowCpuMs,
                        MAX_PROPAGATION_MS));
    }

    @Test
    void lateHollowSidecarsMakeAMissedTargetVoid() {
        assertEquals("", Bottleneck.findLatenessReason(1000, MAX_PROPAGATION_MS));
        assertEquals(
                "the hollow sidecars' loops were late by 1100 ms at most",
                Bottleneck.findLatenessReason(1100, MAX_PROPAGATION_MS));
    }

    @Test
    void blockedEventLoopCountsAsLateForTheEntireTime() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = (EventLoop) group.next();
        try (EventLoopMonitor monitor = new EventLoopMonitor(loop)) {
            // 200 ticks that are on time come first, so that a single late tick would not show at p99.
            loop.schedule(() -> {}, 2, TimeUnit.SECONDS).sync();
            long startNanos = System.nanoTime();
            loop.submit(() -> {
                        while (System.nanoTime() - startNanos < BLOCKED_MS * 1_000_000) {
                            Thread.onSpinWait();
                        }
                    })
                    .sync();
            loop.schedule(() -> {}, 50, TimeUnit.MILLISECONDS).sync();
            EventLoopMonitor.Sample sample = monitor.takeAndReset();
            assertTrue(sample.maxLagMs() > BLOCKED_MS / 2, "lag in ms: " + sample.maxLagMs());
            assertTrue(sample.lagP99Ms() > BLOCKED_MS / 2, "lag in ms: " + sample.lagP99Ms());
            assertTrue(sample.cpuMs() > 0, "processor time in ms: " + sample.cpuMs());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    @Test
    void onlyMetVerdictsPass() {
        for (StormRow.Verdict verdict : StormRow.Verdict.values()) {
            assertEquals(
                    verdict == StormRow.Verdict.MET, results(verdict, false).passes(), verdict.label());
        }
        assertFalse(results(StormRow.Verdict.MET, true).passes());
    }

    @Test
    void tableShowsVoidRowsAndMissedTargets() {
        ScaleResults results = results(StormRow.Verdict.VOID, true);
        String table = results.table(List.of());
        assertTrue(table.contains("| void: late |"), table);
        assertTrue(table.contains("Not all targets are met"), table);
    }

    @Test
    void measurementAboveItsTargetIsMissed() {
        ScaleScenario scenario = scenario();
        Measurement point = new Measurement(Measurement.Subject.SIDECAR, 1000, 0, 0, 2.3, 100, 60, 40, 0, 0, false);
        ScaleResults results = new ScaleResults(scenario, "1", 1, List.of(point), List.of(), List.of(), "");
        assertEquals(1, results.missedTargets().size());
        assertFalse(results.passes());
    }

    private static ScaleScenario scenario() {
        return new ScaleScenario(
                "s",
                Path.of("s.toml"),
                "about",
                new Site(1000, 110, 2, 7, 20),
                new ScaleScenario.Sidecars(8, 4, 1, 0, 100),
                new ScaleScenario.Targets(MAX_PROPAGATION_MS, 2.2, 32, 15),
                null,
                List.of());
    }

    private static ScaleResults results(StormRow.Verdict verdict, boolean voidPoint) {
        StormRow row = new StormRow(
                new ScaleScenario.Storm(ScaleScenario.Kind.CHANGE, ScaleScenario.EndpointScope.ALL, 1, 1),
                10,
                1,
                1000,
                10,
                0,
                1,
                2,
                3,
                3,
                2,
                9,
                9,
                0,
                1,
                1,
                1,
                1,
                1,
                1,
                1,
                60,
                1,
                1,
                verdict,
                verdict == StormRow.Verdict.MET ? "" : "late");
        Measurement point = new Measurement(Measurement.Subject.SIDECAR, 10, 0, 5, 1, 1, 60, 40, 0, 0, voidPoint);
        return new ScaleResults(scenario(), "1", 1, List.of(point), List.of(row), List.of(), "");
    }
}
