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
 * Measures what a change of the list costs a balancer, in microseconds of processor time, by how many endpoints are
 * listed and how fast changes come; a table by {@link #main}. Each change is one entry: an endpoint leaves or
 * comes back. Ten requests a second go on meanwhile, which settle places.
 */
public final class ListChangeCost {

    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final int[] LISTED = {10, 100, 1000, 5000};
    private static final int CHANGES = 2000;
    private static final double REQUEST_INTERVAL_MS = 100;

    private ListChangeCost() {}

    /** Prints the table of one run. */
    public static void main(String[] args) {
        System.out.println("listed  us/change at 1/s  at 20/s  at 500/s  us of a list of all");
        for (int listed : LISTED) {
            System.out.printf(
                    Locale.ROOT,
                    "%6d %17.1f %8.1f %9.1f %20.0f%n",
                    listed,
                    change(listed, 1000, CHANGES),
                    change(listed, 50, CHANGES),
                    change(listed, 2, CHANGES),
                    all(listed));
        }
    }

    /** The endpoints of a fleet in seven zones. */
    static List<Endpoint> fleet(int listed) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < listed; i++) {
            endpoints.add(new Endpoint(
                    "s-" + Integer.toHexString(i * 7919 + 1), i % 7, 0, i % 3, 0, EndpointState.READY, 1 + i % 2));
        }
        return endpoints;
    }

    /**
     * Microseconds of processor time for each of so many changes of one entry, after as many that are not
     * counted, one every so many milliseconds.
     */
    static double change(int listed, double everyMs, int changes) {
        Fixture f = Fixture.of(listed, 3, 0).list(fleet(listed));
        List<Endpoint> endpoints = fleet(listed);
        Random random = new Random(5);
        double nextCall = 0;
        double spentNs = 0;
        for (int i = 0; i < 2 * changes; i++) {
            f.now += everyMs;
            int which = random.nextInt(listed);
            Endpoint was = endpoints.get(which);
            Endpoint is =
                    was.withState(was.state() == EndpointState.READY ? EndpointState.DRAINING : EndpointState.READY);
            endpoints.set(which, is);
            long before = CPU.getCurrentThreadCpuTime();
            f.change(is);
            if (f.now >= nextCall) {
                request(f);
                nextCall = f.now + REQUEST_INTERVAL_MS;
            }
            spentNs += i < changes ? 0 : CPU.getCurrentThreadCpuTime() - before;
        }
        return spentNs / changes / 1000;
    }

    /** Microseconds of processor time for a whole list in which nothing has changed. */
    private static double all(int listed) {
        Fixture f = Fixture.of(listed, 3, 0).list(fleet(listed));
        List<Endpoint> endpoints = fleet(listed);
        double spentNs = 0;
        int lists = 200;
        for (int i = 0; i < 2 * lists; i++) {
            f.now += 1000;
            long before = CPU.getCurrentThreadCpuTime();
            f.list(endpoints);
            request(f);
            spentNs += i < lists ? 0 : CPU.getCurrentThreadCpuTime() - before;
        }
        return spentNs / lists / 1000;
    }

    private static void request(Fixture f) {
        int sent = f.host.started.size();
        f.request(Fixture.IDEMPOTENT);
        if (f.host.started.size() > sent) {
            f.finish(f.host.last(), AttemptOutcome.OK, 20);
        }
    }
}
