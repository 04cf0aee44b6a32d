package lemonrail.core.policy;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;

/**
 * Measures the processor time in microseconds that a balancer needs for a change of the endpoint list, by the number of
 * listed endpoints and the rate of changes. {@link #main} prints a table. Each change is one entry: an endpoint leaves
 * or comes back. Meanwhile there are ten requests per second, which trigger the update of places.
 */
public final class ListChangeCost {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int[] FLEET_SIZES = {10, 100, 1000, 5000};
    private static final int MEASURED_CHANGES = 2000;
    private static final double REQUEST_INTERVAL_MS = 100;

    private ListChangeCost() {}

    /** Prints the table of one run. */
    public static void main(String[] args) {
        System.out.println("listed  us/change at 1/s  at 20/s  at 500/s          us/snapshot");
        for (int listed : FLEET_SIZES) {
            System.out.printf(
                    Locale.ROOT,
                    "%6d %17.1f %8.1f %9.1f %20.0f%n",
                    listed,
                    changeCostMicros(listed, 1000, MEASURED_CHANGES),
                    changeCostMicros(listed, 50, MEASURED_CHANGES),
                    changeCostMicros(listed, 2, MEASURED_CHANGES),
                    snapshotCostMicros(listed));
        }
    }

    /** Returns the endpoints of a fleet in seven zones. */
    static List<Endpoint> fleet(int listed) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < listed; i++) {
            endpoints.add(new Endpoint(
                    "s-" + Integer.toHexString(i * 7919 + 1), i % 7, 0, i % 3, 0, EndpointState.READY, 1 + i % 2));
        }
        return endpoints;
    }

    /**
     * Returns the mean processor time in microseconds of a change of one entry, with one change per interval. As many
     * changes before the measured ones are not counted.
     */
    static double changeCostMicros(int listed, double intervalMs, int changes) {
        Fixture f = Fixture.of(listed, 3, 0).setEndpoints(fleet(listed));
        List<Endpoint> endpoints = fleet(listed);
        Random random = new Random(5);
        double nextRequestMs = 0;
        double cpuTimeNs = 0;
        for (int i = 0; i < 2 * changes; i++) {
            f.nowMs += intervalMs;
            int index = random.nextInt(listed);
            Endpoint previous = endpoints.get(index);
            Endpoint changed = previous.withState(
                    previous.state() == EndpointState.READY ? EndpointState.DRAINING : EndpointState.READY);
            endpoints.set(index, changed);
            long cpuTimeBeforeNs = THREADS.getCurrentThreadCpuTime();
            f.updateEndpoints(changed);
            if (f.nowMs >= nextRequestMs) {
                sendRequest(f);
                nextRequestMs = f.nowMs + REQUEST_INTERVAL_MS;
            }
            cpuTimeNs += i < changes ? 0 : THREADS.getCurrentThreadCpuTime() - cpuTimeBeforeNs;
        }
        return cpuTimeNs / changes / 1000;
    }

    /** Returns the mean processor time in microseconds of a complete list in which nothing has changed. */
    private static double snapshotCostMicros(int listed) {
        Fixture f = Fixture.of(listed, 3, 0).setEndpoints(fleet(listed));
        List<Endpoint> endpoints = fleet(listed);
        double cpuTimeNs = 0;
        int snapshots = 200;
        for (int i = 0; i < 2 * snapshots; i++) {
            f.nowMs += 1000;
            long cpuTimeBeforeNs = THREADS.getCurrentThreadCpuTime();
            f.setEndpoints(endpoints);
            sendRequest(f);
            cpuTimeNs += i < snapshots ? 0 : THREADS.getCurrentThreadCpuTime() - cpuTimeBeforeNs;
        }
        return cpuTimeNs / snapshots / 1000;
    }

    private static void sendRequest(Fixture f) {
        int startedBefore = f.host.started.size();
        f.sendRequest(Fixture.IDEMPOTENT);
        if (f.host.started.size() > startedBefore) {
            f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.OK, 20);
        }
    }
}
