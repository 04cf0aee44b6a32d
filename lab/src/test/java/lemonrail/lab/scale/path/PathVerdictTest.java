package lemonrail.lab.scale.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import lemonrail.lab.host.ProcessUsage;
import lemonrail.lab.host.ProcessUsage.Kind;
import lemonrail.lab.host.ProcessUsage.Threads;
import lemonrail.lab.scale.LinearFit;
import lemonrail.lab.scale.path.PathRow.Experiment;
import lemonrail.lab.scale.path.PathRow.RouteType;
import lemonrail.lab.scale.path.PathVerdict.Comparison;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the calculations of rows and verdicts. */
class PathVerdictTest {

    private static final ProcessUsage USAGE = new ProcessUsage(
            40, Map.of("1/1", new Threads(Kind.LOOP, 36, 3, 500), "1/2", new Threads(Kind.COMPILER, 4, 1, 20)), 70, 40);

    /** Returns a row of 1,000 calls: 980 took {@code fastMicros}, and 20 took {@code slowMicros}. */
    private static PathRow row(
            RouteType routeType, int step, long fastMicros, long slowMicros, double lateMs, long served) {
        Histogram micros = new Histogram(3);
        micros.recordValueWithCount(fastMicros, 980);
        micros.recordValueWithCount(slowMicros, 20);
        return new PathRow(
                step > 0 ? Experiment.CHAIN : Experiment.SIDE_BY_SIDE,
                routeType,
                1,
                step,
                10,
                64,
                1,
                390,
                1000,
                served,
                micros,
                800,
                2000,
                USAGE,
                lateMs,
                0.01,
                0,
                1.5);
    }

    private static Comparison comparison(long slowMicros, double lateMs, long served) {
        return new Comparison(
                390,
                row(RouteType.DIRECT, 0, 50, 100, 0.01, 1000),
                row(RouteType.RELAY, 0, 90, 160, 0.01, 1000),
                row(RouteType.SIDECAR, 0, 150, slowMicros, lateMs, served));
    }

    @Test
    void addedLatencyIsTheDifferenceToADirectCall() {
        Comparison comparison = comparison(500, 0.01, 1000);
        assertEquals(0.100, comparison.addedMs(50), 0.001);
        assertEquals(0.400, comparison.addedMs(99), 0.001);
        assertEquals(0.060, comparison.addedByRelayMs(99), 0.001);
    }

    @ParameterizedTest
    @CsvSource({
        // slowest call of the sidecar, of a step, lateness, served | complete, met
        "515, 415, 0.01, 1000, true,  true",
        "525, 415, 0.01, 1000, true,  false",
        "515, 425, 0.01, 1000, true,  false",
        "515, 415, 0.11, 1000, false, false",
        "515, 415, 0.01, 999,  true,  true",
        "515, 415, 0.01, 998,  true,  false",
    })
    void targetAppliesToEachRateAndStep(
            long slowMicros, long stepMicros, double lateMs, long served, boolean complete, boolean met) {
        PathVerdict verdict = PathVerdict.of(
                List.of(comparison(400, 0.01, 1000), comparison(slowMicros, lateMs, served)),
                List.of(
                        row(RouteType.SIDECAR, 1, 150, 300, 0.01, 1000),
                        row(RouteType.SIDECAR, 2, 150, stepMicros, 0.01, 1000)));
        assertEquals(complete, verdict.isComplete());
        assertEquals(met, verdict.isMet(), verdict.toString());
        assertEquals(met || !complete, verdict.missedTargets().isEmpty(), verdict.toString());
    }

    @ParameterizedTest
    @CsvSource({"19, false", "21, true"})
    void waitingForACoreMakesARowVoid(double noCoreUs, boolean isVoid) {
        PathRow row = row(RouteType.SIDECAR, 0, 50, 100, 0.01, 1000);
        PathRow waited = new PathRow(
                row.experiment(),
                row.routeType(),
                1,
                0,
                10,
                64,
                1,
                390,
                1000,
                1000,
                row.latencyMicros(),
                800,
                2000,
                new ProcessUsage(40, Map.of("1/1", new Threads(Kind.LOOP, 36, noCoreUs * 0.8, 500)), 70, 40),
                0.01,
                0.01,
                0,
                1.5);
        assertEquals(isVoid, waited.isVoid());
    }

    @Test
    void missingMeasurementsDoNotMeetTheTarget() {
        PathRow step = row(RouteType.SIDECAR, 1, 150, 300, 0.01, 1000);
        assertFalse(PathVerdict.of(List.of(), List.of(step)).isMet());
        assertFalse(
                PathVerdict.of(List.of(comparison(400, 0.01, 1000)), List.of()).isMet());
        PathRow empty = new PathRow(
                Experiment.CHAIN,
                RouteType.SIDECAR,
                1,
                1,
                1,
                64,
                1,
                390,
                0,
                0,
                new Histogram(3),
                0,
                2000,
                USAGE,
                0,
                0,
                0,
                0);
        assertFalse(PathVerdict.of(List.of(comparison(400, 0.01, 1000)), List.of(empty))
                .isMet());
    }

    @Test
    void processorTimeIsDividedByTheCallsOfItsPeriod() {
        PathRow row = row(RouteType.SIDECAR, 0, 50, 100, 0.01, 1000);
        assertEquals(50, row.cpuUs(), 1e-9);
        assertEquals(50, row.statUs(), 1e-9);
        assertEquals(45, row.cpuUs(Kind.LOOP), 1e-9);
        assertEquals(5, row.cpuUs(Kind.COMPILER), 1e-9);
        assertEquals(0, row.cpuUs(Kind.VM), 1e-9);
        assertEquals(5, row.noCoreUs(), 1e-9);
        assertEquals(0.65, row.wakeups(), 1e-9);
        assertEquals(2, row.cpuPercent(), 1e-9);
        assertEquals(400, row.actualRate(), 1e-9);
        assertEquals(PathRow.CSV_HEADER.split(",").length, row.toCsv().split(",", -1).length);
    }

    @Test
    void mergedRoundsContainAllCalls() {
        PathRow all = PathRow.mergeRounds(
                List.of(row(RouteType.SIDECAR, 0, 50, 100, 0.01, 1000), row(RouteType.SIDECAR, 0, 70, 200, 0.05, 990)));
        assertEquals(2000, all.sent());
        assertEquals(1990, all.served());
        assertEquals(2000, all.latencyMicros().getTotalCount());
        assertEquals(50, all.cpuUs(), 1e-9);
        assertEquals(0.05, all.sendLatenessP99Ms(), 1e-9);
        assertTrue(all.latencyMs(99) > all.latencyMs(50));
    }

    @Test
    void endedThreadsAreNotSubtracted() {
        ProcessUsage before = new ProcessUsage(
                10,
                Map.of("1/1", new Threads(Kind.LOOP, 5, 1, 10), "1/9", new Threads(Kind.COMPILER, 300, 50, 70)),
                60,
                30);
        ProcessUsage difference = USAGE.since(before);
        assertEquals(31 + 4, difference.cpuMs(), 1e-9);
        assertEquals(4, difference.of(Kind.COMPILER).ranMs(), 1e-9);
        assertEquals(2 + 1, difference.waitedMs(), 1e-9);
        assertEquals(490 + 20, difference.wakeups());
        assertEquals(30, difference.statMs(), 1e-9);
    }

    @ParameterizedTest
    @CsvSource({
        "sidecar-1-1, LOOP",
        "multiThreadIoEv, LOOP",
        "C1 CompilerThre, COMPILER",
        "VM Thread, VM",
        "VM Periodic Tas, VM",
        "log, OTHER"
    })
    void threadKindIsDerivedFromTheName(String name, Kind kind) {
        assertEquals(kind, ProcessUsage.kind(name));
    }

    @Test
    void lineIsFittedByLeastSquares() {
        LinearFit line = LinearFit.through(
                List.of(new LinearFit.Point(0, 3), new LinearFit.Point(10, 23), new LinearFit.Point(20, 43)));
        assertEquals(2, line.slope(), 1e-9);
        assertEquals(3, line.intercept(), 1e-9);
        assertEquals(1, line.rSquared(), 1e-9);
        // Calculated by hand: means 2 and 4; sums of squares xx = 2, xy = 1, yy = 2.
        LinearFit noisyFit = LinearFit.through(
                List.of(new LinearFit.Point(1, 4), new LinearFit.Point(2, 3), new LinearFit.Point(3, 5)));
        assertEquals(0.5, noisyFit.slope(), 1e-9);
        assertEquals(3, noisyFit.intercept(), 1e-9);
        assertEquals(0.25, noisyFit.rSquared(), 1e-9);
    }
}
