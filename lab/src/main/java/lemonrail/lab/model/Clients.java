package lemonrail.lab.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Clients of the first tier: their requests are due at times of their own, each try is given up after a part
 * of its class's deadline, and what was refused or failed may be tried again after a wait.
 */
public final class Clients {

    /**
     * How clients try again.
     *
     * @param most tries beyond the first
     * @param waitMs before the first repeat
     * @param growth each later wait is so many times the one before; 1 keeps it the same
     * @param heedsRetryAfter whether an answer's Retry-After goes before the client's own wait
     */
    public record Retrying(int most, double waitMs, double growth, boolean heedsRetryAfter) {}

    /**
     * A class as its clients see it.
     *
     * @param keyed whether a key goes with it
     * @param share of all requests
     * @param workMs mean work of all tiers
     */
    public record Kind(double deadlineMs, boolean keyed, double share, double workMs) {}

    /** All that is true of the clients; a try is given up after a part of its deadline within the two. */
    public record Shape(
            List<Kind> kinds,
            List<Double> tenantShares,
            Retrying retrying,
            double leastPatience,
            double mostPatience,
            boolean exponentialWork) {}

    /** What comes back for one try. */
    public interface Reply {
        /** The try has ended; {@code retryAfterMs} is NaN where none was named. */
        void ended(ClientRequest.End end, int status, double retryAfterMs);
    }

    /** Carries one try to the edge; it must reply once, by {@code patienceMs} with GIVEN_UP at the latest. */
    public interface Sender {
        /** Sends it. */
        void send(ClientRequest request, String id, double patienceMs, Reply reply);
    }

    private final Scheduler scheduler;
    private final Shape shape;
    private final double[] kindShares;
    private final double[] tenantShares;
    private final Arrivals arrivals;
    private final UniformRandomProvider random;
    private final Sender sender;
    private final double lengthMs;
    private final List<ClientRequest> requests = new ArrayList<>();
    private int open;
    private boolean stopped;
    private double mostLateMs;
    private double sumLateMs;

    /** Clients whose requests come for {@code lengthMs}. */
    public Clients(
            Scheduler scheduler,
            Shape shape,
            Arrivals arrivals,
            double lengthMs,
            UniformRandomProvider random,
            Sender sender) {
        this.scheduler = scheduler;
        this.shape = shape;
        kindShares = shape.kinds.stream().mapToDouble(Kind::share).toArray();
        tenantShares = shape.tenantShares.stream().mapToDouble(share -> share).toArray();
        this.arrivals = arrivals;
        this.lengthMs = lengthMs;
        this.random = random;
        this.sender = sender;
    }

    /** The first request is due from now on. */
    public void start() {
        await(arrivals.next());
    }

    private void await(double atMs) {
        if (atMs < lengthMs && !stopped) {
            scheduler.after(atMs - scheduler.nowMs(), () -> arrive(atMs));
        }
    }

    private void arrive(double dueMs) {
        double at = dueMs;
        // All that is due is sent now: a late clock must not thin the load out.
        while (!stopped && at < lengthMs && at <= scheduler.nowMs()) {
            double late = scheduler.nowMs() - at;
            mostLateMs = Math.max(mostLateMs, late);
            sumLateMs += late;
            begin(at);
            at = arrivals.next();
        }
        await(at);
    }

    private void begin(double atMs) {
        int kind = draw(kindShares);
        int tenant = draw(tenantShares);
        Kind of = shape.kinds.get(kind);
        double work = of.workMs * (shape.exponentialWork ? -Math.log1p(-random.nextDouble()) : 1);
        ClientRequest request = new ClientRequest(
                requests.size(), atMs, kind, tenant, work, of.keyed ? Long.toHexString(random.nextLong()) : null);
        requests.add(request);
        open++;
        attempt(request, 0);
    }

    private int draw(double[] shares) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        double left = random.nextDouble() * sum;
        for (int i = 0; i < shares.length - 1; i++) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return Math.max(0, shares.length - 1);
    }

    private void attempt(ClientRequest request, int number) {
        String id = Long.toHexString(random.nextLong());
        double patience = shape.kinds.get(request.requestClass()).deadlineMs
                * (shape.leastPatience + (shape.mostPatience - shape.leastPatience) * random.nextDouble());
        // A first try counts from when it was due, whenever the generator came to send it.
        double sentMs = number == 0 ? request.arrivedMs() : scheduler.nowMs();
        sender.send(request, id, patience, (end, status, retryAfterMs) -> {
            request.tries().add(new ClientRequest.Try(id, sentMs, scheduler.nowMs(), end, status));
            boolean again = (end == ClientRequest.End.REFUSED
                            || end == ClientRequest.End.FAILED
                            || end == ClientRequest.End.LOST
                            || end == ClientRequest.End.UNREACHED)
                    && number < shape.retrying.most
                    && !stopped;
            if (!again) {
                open--;
                return;
            }
            double own = shape.retrying.waitMs * Math.pow(shape.retrying.growth, number);
            double wait = shape.retrying.heedsRetryAfter && !Double.isNaN(retryAfterMs) ? retryAfterMs : own;
            scheduler.after(wait, () -> attempt(request, number + 1));
        });
    }

    /** All that was asked for so far, in the order of arrival. */
    public List<ClientRequest> requests() {
        return requests;
    }

    /** No more requests come; those that are there still end. */
    public void stop() {
        stopped = true;
    }

    /** Whether all requests have come and ended. */
    public boolean isOver() {
        return open == 0 && (stopped || scheduler.nowMs() >= lengthMs);
    }

    /** How much later than due a request was sent, at most. */
    public double mostLateMs() {
        return mostLateMs;
    }

    /** The same in the mean. */
    public double meanLateMs() {
        return requests.isEmpty() ? 0 : sumLateMs / requests.size();
    }
}
