package lemonrail.lab.scale.path;

import java.util.List;
import java.util.Locale;
import lemonrail.lab.host.ProcessUsage;
import lemonrail.lab.host.ProcessUsage.Kind;
import org.HdrHistogram.Histogram;

/**
 * One measurement of the data path.
 *
 * @param experiment what was varied
 * @param routeType which process, if any, was between the caller and the endpoint
 * @param round the number of the measurement among those of the same kind
 * @param step the step of a chain whose added latency this row shows, or 0 for whole calls
 * @param endpoints the number of endpoints listed
 * @param connections the maximum number of client connections
 * @param batch the number of calls that arrived at the same moment
 * @param rate calls per second, 0 if none were made
 * @param sent the number of calls after the warm-up
 * @param served the number of these that were served
 * @param latencyMicros latencies of served calls in microseconds, from when each was due
 * @param calls the number of calls sent while the processor time was measured
 * @param wallMs how long the processor time was measured
 * @param usage what the process between caller and endpoint used meanwhile
 * @param sendLatenessP99Ms how late calls were sent, at the 99th percentile
 * @param pauseP99Ms how long the endpoints' event loop did not look at its sockets, at the 99th percentile over
 *     time
 * @param connectionWaits the number of calls that found all client connections busy
 * @param load the machine's load average over the last minute, which counts processes that run or are ready to run
 */
record PathRow(
        Experiment experiment,
        RouteType routeType,
        int round,
        int step,
        int endpoints,
        int connections,
        int batch,
        int rate,
        long sent,
        long served,
        Histogram latencyMicros,
        long calls,
        double wallMs,
        ProcessUsage usage,
        double sendLatenessP99Ms,
        double pauseP99Ms,
        long connectionWaits,
        double load) {

    /** What was varied, or what else the measurement was for. */
    enum Experiment {
        WARM_UP,
        SIDE_BY_SIDE,
        RATE,
        BATCH,
        ENDPOINTS,
        CONNECTIONS,
        CHAIN,
        RAMP
    }

    /** Which process is between the caller and the endpoint, if any. */
    enum RouteType {
        DIRECT,
        RELAY,
        SIDECAR
    }

    /**
     * The maximum lateness of the lab itself: a quarter of the allowed added latency. Above it the figures show the
     * lab.
     */
    static final double MAX_LAB_LATENESS_MS = PathVerdict.MAX_ADDED_MS / 4;

    private static final double MAX_NO_CORE_US = 20;
    private static final double MIN_SUSTAINED_SHARE = 0.99;
    private static final double MAX_SUSTAINED_P99_MS = 50;

    static final String CSV_HEADER = "part,way,round,step,endpoints,connections,batch,rate,sent,served,"
            + "p50_ms,p99_ms,p999_ms,cpu_us,stat_us,loop_us,compiler_us,vm_us,other_us,no_core_us,wakeups,"
            + "cpu_percent,rss_mb,"
            + "descriptors,late99_ms,away99_ms,load,void";

    /**
     * Returns whether the measurement is void because the load generator or the stand-in, rather than the process
     * between them, determined the figures. Calls that arrive at the same moment are sent and answered one after
     * the other, so each has the same allowance of its own. The measurement is also void if other processes had the
     * measured process's core: a scheduler's time slice of 3 ms for one call in 100 is 30 µs per call on average.
     */
    boolean isVoid() {
        double maxLatenessMs = MAX_LAB_LATENESS_MS * batch;
        boolean isSingleProcess = experiment != Experiment.CHAIN || step > 0;
        return (isSingleProcess && noCoreUs() > MAX_NO_CORE_US)
                || sendLatenessP99Ms > maxLatenessMs
                || pauseP99Ms > maxLatenessMs
                || connectionWaits > sent / 100;
    }

    /** Returns whether more than one call in a thousand was lost or refused. */
    boolean hasUnservedCalls() {
        return sent - served > sent / 1000;
    }

    /** Returns whether the rate was sustained: nearly all calls were served, and with a low latency. */
    boolean isSustained() {
        return !isVoid() && served >= sent * MIN_SUSTAINED_SHARE && latencyMs(99) <= MAX_SUSTAINED_P99_MS;
    }

    double latencyMs(double percentile) {
        return latencyMicros.getTotalCount() == 0 ? Double.NaN : latencyMicros.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns the processor time per call in microseconds. */
    double cpuUs() {
        return perCallUs(usage.cpuMs());
    }

    /** Returns the same as {@code /proc/PID/stat} shows it, in steps of 10 ms. */
    double statUs() {
        return perCallUs(usage.statMs());
    }

    private double perCallUs(double totalMs) {
        return calls == 0 ? Double.NaN : totalMs * 1000 / calls;
    }

    /** Returns the processor time per call of threads of a kind, in microseconds. */
    double cpuUs(Kind kind) {
        return perCallUs(usage.of(kind).ranMs());
    }

    /** Returns how often threads of any kind were woken per call. */
    double wakeups() {
        return calls == 0 ? Double.NaN : usage.wakeups() / (double) calls;
    }

    /** Returns how long the work of a call waited for a core that other processes used, in microseconds. */
    double noCoreUs() {
        return perCallUs(usage.waitedMs());
    }

    /** Returns the processor time in percent of a core. */
    double cpuPercent() {
        return usage.cpuMs() * 100 / wallMs;
    }

    /** Returns the calls per second that were actually sent while the processor time was measured. */
    double actualRate() {
        return calls * 1000 / wallMs;
    }

    /** Returns the row as a line of CSV; unknown values are empty. */
    String toCsv() {
        return String.format(
                Locale.ROOT,
                "%s,%s,%d,%d,%d,%d,%d,%d,%d,%d,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s," + "%s,%s,%d,%.3f,%.3f,%.1f,%b",
                experiment.name().toLowerCase(Locale.ROOT),
                routeType.name().toLowerCase(Locale.ROOT),
                round,
                step,
                endpoints,
                connections,
                batch,
                rate,
                sent,
                served,
                formatOrBlank(latencyMs(50), 3),
                formatOrBlank(latencyMs(99), 3),
                formatOrBlank(latencyMs(99.9), 3),
                formatOrBlank(cpuUs(), 1),
                formatOrBlank(statUs(), 1),
                formatOrBlank(cpuUs(Kind.LOOP), 1),
                formatOrBlank(cpuUs(Kind.COMPILER), 1),
                formatOrBlank(cpuUs(Kind.VM), 1),
                formatOrBlank(cpuUs(Kind.OTHER), 1),
                formatOrBlank(noCoreUs(), 1),
                formatOrBlank(wakeups(), 2),
                formatOrBlank(cpuPercent(), 2),
                formatOrBlank(usage.residentMb(), 1),
                usage.descriptors(),
                sendLatenessP99Ms,
                pauseP99Ms,
                load,
                isVoid());
    }

    static String formatOrBlank(double value, int decimals) {
        return Double.isNaN(value) || Double.isInfinite(value)
                ? ""
                : String.format(Locale.ROOT, "%." + decimals + "f", value);
    }

    /**
     * Merges the rounds of a measurement: sums calls and processor time, and takes the maximum of lateness, pause
     * and load.
     */
    static PathRow mergeRounds(List<PathRow> rounds) {
        PathRow first = rounds.get(0);
        Histogram latencyMicros = first.latencyMicros.copy();
        ProcessUsage usage = first.usage;
        for (PathRow round : rounds.subList(1, rounds.size())) {
            latencyMicros.add(round.latencyMicros);
            usage = usage.plus(round.usage);
        }
        return new PathRow(
                first.experiment,
                first.routeType,
                0,
                first.step,
                first.endpoints,
                first.connections,
                first.batch,
                first.rate,
                rounds.stream().mapToLong(PathRow::sent).sum(),
                rounds.stream().mapToLong(PathRow::served).sum(),
                latencyMicros,
                rounds.stream().mapToLong(PathRow::calls).sum(),
                rounds.stream().mapToDouble(PathRow::wallMs).sum(),
                usage,
                rounds.stream().mapToDouble(PathRow::sendLatenessP99Ms).max().orElseThrow(),
                rounds.stream().mapToDouble(PathRow::pauseP99Ms).max().orElseThrow(),
                rounds.stream().mapToLong(PathRow::connectionWaits).sum(),
                rounds.stream().mapToDouble(PathRow::load).max().orElseThrow());
    }
}
