package lemonrail.lab.scale.path;

import java.util.List;
import java.util.Locale;
import lemonrail.lab.host.ProcessUsage;
import lemonrail.lab.host.ProcessUsage.Kind;
import org.HdrHistogram.Histogram;

/**
 * One measurement of the data path.
 *
 * @param way who stands between caller and endpoint
 * @param step of a chain whose own addition this is, or 0 for whole calls
 * @param endpoints listed
 * @param connections of clients at most
 * @param batch calls that came at once
 * @param rate calls a second, 0 where none were made
 * @param sent calls that count
 * @param micros times of served calls, from when each was due, in microseconds
 * @param calls that were sent while the processor's time was read
 * @param wallMs how long it was read
 * @param usage what the process in between used meanwhile
 * @param late99Ms how late calls were sent, 99 in 100
 * @param away99Ms how long the stand-in's loop was away, in 99 of 100 moments
 * @param waited calls that found all client connections busy
 * @param load the machine's load over the last minute (processes that run or want to)
 */
record PathRow(
        Part part,
        Way way,
        int round,
        int step,
        int endpoints,
        int connections,
        int batch,
        int rate,
        long sent,
        long served,
        Histogram micros,
        long calls,
        double wallMs,
        ProcessUsage usage,
        double late99Ms,
        double away99Ms,
        long waited,
        double load) {

    /** What was varied. */
    enum Part {
        WARM_UP,
        SIDE_BY_SIDE,
        RATE,
        BATCH,
        ENDPOINTS,
        CONNECTIONS,
        CHAIN,
        RAMP
    }

    /** Who stands between. */
    enum Way {
        DIRECT,
        RELAY,
        SIDECAR
    }

    /** Beyond a quarter of what may be added, the lab's own lateness makes the figures. */
    static final double MOST_LATE_MS = PathVerdict.MOST_ADDED_MS / 4;

    private static final double MOST_NO_CORE_US = 20;
    private static final double RAMP_KEEPS = 0.99;
    private static final double RAMP_MOST_MS = 50;

    static final String HEADER = "part,way,round,step,endpoints,connections,batch,rate,sent,served,"
            + "p50_ms,p99_ms,p999_ms,cpu_us,stat_us,loop_us,compiler_us,vm_us,other_us,no_core_us,wakeups,"
            + "cpu_percent,rss_mb,"
            + "descriptors,late99_ms,away99_ms,load,void";

    /**
     * Whether generator or stand-in, and not what stands between, made the figures. Calls that come at once
     * are sent and answered one after the other, each with its own time for it. Nor is it the work of what
     * stands between when others had its core: a scheduler's slice of 3 ms for one call in 100 is 30 µs a
     * call in the mean.
     */
    boolean isVoid() {
        double mostMs = MOST_LATE_MS * batch;
        boolean isOneProcess = part != Part.CHAIN || step > 0;
        return (isOneProcess && noCoreUs() > MOST_NO_CORE_US)
                || late99Ms > mostMs
                || away99Ms > mostMs
                || waited > sent / 100;
    }

    /** Whether calls were lost or refused, one in a thousand or more. */
    boolean isUnserved() {
        return sent - served > sent / 1000;
    }

    /** Whether a rate was kept: nearly all was served, and none too late. */
    boolean isKept() {
        return !isVoid() && served >= sent * RAMP_KEEPS && ms(99) <= RAMP_MOST_MS;
    }

    double ms(double percentile) {
        return micros.getTotalCount() == 0 ? Double.NaN : micros.getValueAtPercentile(percentile) / 1e3;
    }

    /** Processor time for each call in microseconds. */
    double cpuUs() {
        return perCallUs(usage.cpuMs());
    }

    /** The same as {@code /proc/PID/stat} has it, in steps of 10 ms. */
    double statUs() {
        return perCallUs(usage.statMs());
    }

    private double perCallUs(double ms) {
        return calls == 0 ? Double.NaN : ms * 1000 / calls;
    }

    /** Processor time of threads of a kind for each call in microseconds. */
    double cpuUs(Kind kind) {
        return perCallUs(usage.of(kind).ranMs());
    }

    /** How often threads of any kind were woken for each call. */
    double wakeups() {
        return calls == 0 ? Double.NaN : usage.wakeups() / (double) calls;
    }

    /** How long a call's work waited for a core that others had, in microseconds. */
    double noCoreUs() {
        return perCallUs(usage.waitedMs());
    }

    /** Processor time as a part of a core, in percent. */
    double cpuPercent() {
        return usage.cpuMs() * 100 / wallMs;
    }

    /** Calls a second that were really sent while the processor's time was read. */
    double realRate() {
        return calls * 1000 / wallMs;
    }

    /** As a line of CSV; what is not known is empty. */
    String csv() {
        return String.format(
                Locale.ROOT,
                "%s,%s,%d,%d,%d,%d,%d,%d,%d,%d,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s," + "%s,%s,%d,%.3f,%.3f,%.1f,%b",
                part.name().toLowerCase(Locale.ROOT),
                way.name().toLowerCase(Locale.ROOT),
                round,
                step,
                endpoints,
                connections,
                batch,
                rate,
                sent,
                served,
                number(ms(50), 3),
                number(ms(99), 3),
                number(ms(99.9), 3),
                number(cpuUs(), 1),
                number(statUs(), 1),
                number(cpuUs(Kind.LOOP), 1),
                number(cpuUs(Kind.COMPILER), 1),
                number(cpuUs(Kind.VM), 1),
                number(cpuUs(Kind.OTHER), 1),
                number(noCoreUs(), 1),
                number(wakeups(), 2),
                number(cpuPercent(), 2),
                number(usage.residentMb(), 1),
                usage.descriptors(),
                late99Ms,
                away99Ms,
                load,
                isVoid());
    }

    static String number(double value, int digits) {
        return Double.isNaN(value) || Double.isInfinite(value)
                ? ""
                : String.format(Locale.ROOT, "%." + digits + "f", value);
    }

    /** Rounds of one measurement together: all their calls, all their processor time. */
    static PathRow merged(List<PathRow> rounds) {
        PathRow first = rounds.get(0);
        Histogram micros = first.micros.copy();
        ProcessUsage usage = first.usage;
        for (PathRow more : rounds.subList(1, rounds.size())) {
            micros.add(more.micros);
            usage = usage.plus(more.usage);
        }
        return new PathRow(
                first.part,
                first.way,
                0,
                first.step,
                first.endpoints,
                first.connections,
                first.batch,
                first.rate,
                rounds.stream().mapToLong(PathRow::sent).sum(),
                rounds.stream().mapToLong(PathRow::served).sum(),
                micros,
                rounds.stream().mapToLong(PathRow::calls).sum(),
                rounds.stream().mapToDouble(PathRow::wallMs).sum(),
                usage,
                rounds.stream().mapToDouble(PathRow::late99Ms).max().orElseThrow(),
                rounds.stream().mapToDouble(PathRow::away99Ms).max().orElseThrow(),
                rounds.stream().mapToLong(PathRow::waited).sum(),
                rounds.stream().mapToDouble(PathRow::load).max().orElseThrow());
    }
}
