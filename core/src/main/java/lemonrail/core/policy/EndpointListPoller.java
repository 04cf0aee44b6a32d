package lemonrail.core.policy;

import java.util.SplittableRandom;
import lemonrail.core.balancer.LoadBalancerHost;

/** Schedules polls of the endpoint list, with random delays and a backoff that grows with each failed poll. */
final class EndpointListPoller {

    /** Name of the timer for the next poll. */
    private static final long POLL_TIMER = 1;
    /** The backoff stops growing at this multiple of the poll interval. */
    private static final int MAX_BACKOFF_MULTIPLE = 4;

    private final double pollIntervalMs;
    private final SplittableRandom random;
    private final LoadBalancerHost host;
    private int consecutiveFailures;

    EndpointListPoller(double pollIntervalMs, SplittableRandom random, LoadBalancerHost host) {
        this.pollIntervalMs = pollIntervalMs;
        this.random = random;
        this.host = host;
    }

    void scheduleFirstPoll() {
        schedule(pollIntervalMs / 2);
    }

    /** Schedules the next poll after one that failed. */
    void onPollFailed() {
        consecutiveFailures++;
        schedule(pollIntervalMs * Math.min(consecutiveFailures, MAX_BACKOFF_MULTIPLE));
    }

    void onListReceived() {
        consecutiveFailures = 0;
    }

    /** Polls the list if the expired timer is this poller's. */
    void onTimer(long name) {
        if (name == POLL_TIMER) {
            host.pollEndpoints();
        }
    }

    /** Schedules a poll after a random delay, so that balancers that start or fail together do not poll together. */
    private void schedule(double maxDelayMs) {
        host.startTimer(random.nextDouble() * maxDelayMs, POLL_TIMER);
    }
}
