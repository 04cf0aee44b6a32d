package lemonrail.lab.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Clients of the first tier. They send requests in an open loop, give each try up after a fraction of the
 * deadline of its class, and may retry a rejected or failed request after a wait.
 */
public final class Clients {

    /**
     * How clients retry.
     *
     * @param maxRetries tries beyond the first
     * @param waitMs time before the first retry
     * @param growth factor from one wait to the next; 1 keeps the wait constant
     * @param honorsRetryAfter whether Retry-After of a response replaces the client's own wait
     */
    public record Retrying(int maxRetries, double waitMs, double growth, boolean honorsRetryAfter) {}

    /**
     * A request class as its clients see it.
     *
     * @param keyed whether requests carry an idempotency key
     * @param share relative share of all requests
     * @param workMs mean work of a request over all tiers
     */
    public record ClassProfile(double deadlineMs, boolean keyed, double share, double workMs) {}

    /**
     * Settings of the clients.
     *
     * @param minTimeoutFraction least fraction of the deadline after which a client gives a try up
     * @param maxTimeoutFraction greatest such fraction; each try draws its own between the two
     * @param exponentialWork whether work is distributed exponentially rather than constant
     */
    public record Settings(
            List<ClassProfile> classes,
            List<Double> tenantShares,
            Retrying retrying,
            double minTimeoutFraction,
            double maxTimeoutFraction,
            boolean exponentialWork) {}

    /** Receives the outcome of one try. */
    public interface Reply {
        /** The try has ended; {@code retryAfterMs} is NaN if the response has no Retry-After. */
        void ended(ClientRequest.End end, int status, double retryAfterMs);
    }

    /** Sends one try to the edge. It must reply exactly once, with GIVEN_UP after {@code timeoutMs} at the latest. */
    public interface Sender {
        /** Sends one try of {@code request} under the request id {@code id}. */
        void send(ClientRequest request, String id, double timeoutMs, Reply reply);
    }

    private final Scheduler scheduler;
    private final Settings settings;
    private final double[] classShares;
    private final double[] tenantShares;
    private final Arrivals arrivals;
    private final UniformRandomProvider random;
    private final Sender sender;
    private final double lengthMs;
    private final List<ClientRequest> requests = new ArrayList<>();
    private int openRequests;
    private boolean stopped;
    private double maxLateMs;
    private double sumLateMs;

    /** Creates clients that send requests for {@code lengthMs}. */
    public Clients(
            Scheduler scheduler,
            Settings settings,
            Arrivals arrivals,
            double lengthMs,
            UniformRandomProvider random,
            Sender sender) {
        this.scheduler = scheduler;
        this.settings = settings;
        classShares = settings.classes.stream().mapToDouble(ClassProfile::share).toArray();
        tenantShares =
                settings.tenantShares.stream().mapToDouble(share -> share).toArray();
        this.arrivals = arrivals;
        this.lengthMs = lengthMs;
        this.random = random;
        this.sender = sender;
    }

    /** Schedules the first request. */
    public void start() {
        scheduleArrival(arrivals.nextMs());
    }

    private void scheduleArrival(double atMs) {
        if (atMs < lengthMs && !stopped) {
            scheduler.after(atMs - scheduler.nowMs(), () -> sendDue(atMs));
        }
    }

    private void sendDue(double dueMs) {
        double arrivalMs = dueMs;
        // Sends everything that is due, because a late timer must not reduce the load.
        while (!stopped && arrivalMs < lengthMs && arrivalMs <= scheduler.nowMs()) {
            double lateMs = scheduler.nowMs() - arrivalMs;
            maxLateMs = Math.max(maxLateMs, lateMs);
            sumLateMs += lateMs;
            startRequest(arrivalMs);
            arrivalMs = arrivals.nextMs();
        }
        scheduleArrival(arrivalMs);
    }

    private void startRequest(double atMs) {
        int requestClass = drawIndex(classShares);
        int tenant = drawIndex(tenantShares);
        ClassProfile profile = settings.classes.get(requestClass);
        double workMs = profile.workMs * (settings.exponentialWork ? -Math.log1p(-random.nextDouble()) : 1);
        ClientRequest request = new ClientRequest(
                requests.size(),
                atMs,
                requestClass,
                tenant,
                workMs,
                profile.keyed ? Long.toHexString(random.nextLong()) : null);
        requests.add(request);
        openRequests++;
        attempt(request, 0);
    }

    private int drawIndex(double[] shares) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < shares.length - 1; i++) {
            remaining -= shares[i];
            if (remaining < 0) {
                return i;
            }
        }
        return Math.max(0, shares.length - 1);
    }

    private void attempt(ClientRequest request, int number) {
        String id = Long.toHexString(random.nextLong());
        double timeoutMs = settings.classes.get(request.requestClass()).deadlineMs
                * (settings.minTimeoutFraction
                        + (settings.maxTimeoutFraction - settings.minTimeoutFraction) * random.nextDouble());
        // The time of a first try counts from when it was due, even if the generator sent it later.
        double sentMs = number == 0 ? request.arrivedMs() : scheduler.nowMs();
        sender.send(request, id, timeoutMs, (end, status, retryAfterMs) -> {
            request.tries().add(new ClientRequest.Try(id, sentMs, scheduler.nowMs(), end, status));
            boolean retry = (end == ClientRequest.End.REFUSED
                            || end == ClientRequest.End.FAILED
                            || end == ClientRequest.End.LOST
                            || end == ClientRequest.End.UNREACHED)
                    && number < settings.retrying.maxRetries
                    && !stopped;
            if (!retry) {
                openRequests--;
                return;
            }
            double ownWaitMs = settings.retrying.waitMs * Math.pow(settings.retrying.growth, number);
            double retryWaitMs =
                    settings.retrying.honorsRetryAfter && !Double.isNaN(retryAfterMs) ? retryAfterMs : ownWaitMs;
            scheduler.after(retryWaitMs, () -> attempt(request, number + 1));
        });
    }

    /** Returns all requests so far, in order of arrival. */
    public List<ClientRequest> requests() {
        return requests;
    }

    /** Sends no more requests and no retries; tries in flight still end. */
    public void stop() {
        stopped = true;
    }

    /** Returns whether all requests have been sent and have ended. */
    public boolean isFinished() {
        return openRequests == 0 && (stopped || scheduler.nowMs() >= lengthMs);
    }

    /** Returns the maximum time by which a request was sent late, in ms. */
    public double maxLateMs() {
        return maxLateMs;
    }

    /** Returns the mean time by which requests were sent late, in ms. */
    public double meanLateMs() {
        return requests.isEmpty() ? 0 : sumLateMs / requests.size();
    }
}
