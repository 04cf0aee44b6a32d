package lemonrail.core;

import java.util.function.Consumer;

/**
 * Counts rejected requests, full endpoint queues and ejections, and logs the counts in one line at most every ten
 * seconds.
 */
public final class LoadSheddingReport {

    private static final double INTERVAL_MS = 10_000;

    private double nextReportMs;
    private int rejectedRequests;
    private int fullQueues;
    private int ejections;

    /** Counts a request that was rejected on admission. */
    public void onRejected() {
        rejectedRequests++;
    }

    /** Counts an attempt that an endpoint rejected because its queue was full. */
    public void onQueueFull() {
        fullQueues++;
    }

    /** Counts the ejection of a healthy endpoint. */
    public void onEjected() {
        ejections++;
    }

    /**
     * Logs the counts and resets them, if the report interval has passed. Logs nothing if all counts are 0.
     *
     * @param tier this balancer's tier
     * @param concurrencyLimit the current limit of requests in flight
     * @param unhealthyEndpoints the number of endpoints that are ejected or probing
     * @param readyEndpoints the number of endpoints that are listed as ready
     */
    public void logIfDue(
            double nowMs,
            int tier,
            double concurrencyLimit,
            int unhealthyEndpoints,
            int readyEndpoints,
            Consumer<String> log) {
        if (nowMs < nextReportMs) {
            return;
        }
        nextReportMs = nowMs + INTERVAL_MS;
        if (rejectedRequests + fullQueues + ejections > 0) {
            log.accept("tier " + tier + ": " + rejectedRequests + " requests rejected at a concurrency limit of "
                    + Math.round(concurrencyLimit) + ", " + fullQueues + " attempts rejected by a full endpoint queue, "
                    + ejections
                    + " ejections; " + unhealthyEndpoints + " endpoints ejected or probing, " + readyEndpoints
                    + " endpoints ready");
        }
        rejectedRequests = 0;
        fullQueues = 0;
        ejections = 0;
    }
}
