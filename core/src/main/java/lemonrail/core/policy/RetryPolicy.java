package lemonrail.core.policy;

import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Idempotency;

/** Which calls may be sent again, where, and how often all of them together. */
final class RetryPolicy {

    /** Retries allowed for each request taken, and how many may be saved up for when many servers die. */
    private static final double SHARE = 0.2;

    private static final double SAVINGS = 10;
    /** An attempt that could be repeated is given up after this multiple of its class's tail time. */
    private static final double PATIENCE = 1.5;
    /** The part of its window in which a keyed call may be repeated. */
    private static final double WINDOW_SHARE = 0.9;

    BalancerSettings settings;
    private double left = SAVINGS;

    RetryPolicy(BalancerSettings settings) {
        this.settings = settings;
    }

    void taken() {
        left = Math.min(SAVINGS, left + SHARE);
    }

    boolean allows(double now, InFlightRequest call, AttemptOutcome outcome) {
        if (call.out > 0
                || call.attempts.size() >= settings.limits().maxAttempts()
                || outcome == AttemptOutcome.IGNORED
                || call.usefulUntil - now < call.learned.typicalMs() / 2
                || (call.mayHaveRun != null
                        && (call.kind.idempotency() == Idempotency.NON_IDEMPOTENT
                                || (call.kind.idempotency() == Idempotency.KEYED
                                        && now - call.mayHaveRun.sentAt()
                                                >= call.kind.deduplicationWindowMs() * WINDOW_SHARE)))) {
            return false;
        }
        // Retries feed on themselves when all is slow, and multiply from tier to tier.
        boolean allowed = left >= 1;
        left -= allowed ? 1 : 0;
        return allowed;
    }

    /** Only the group that remembers a keyed call's first run drops its repeat. */
    static boolean sameGroup(InFlightRequest call, EndpointRecord target) {
        return call.mayHaveRun == null
                || call.kind.idempotency() != Idempotency.KEYED
                || call.kind.deduplicationScope().includesBoth(call.mayHaveRun.slot().target.listed, target.listed);
    }

    /** How long to wait: a hung server must not eat all of a call's time while another could serve it. */
    double timeout(double now, InFlightRequest call) {
        double most = call.usefulUntil - now;
        double patience =
                Math.max(call.learned.tailMs() * PATIENCE, settings.limits().connectTimeoutMs());
        return call.kind.idempotency() != Idempotency.NON_IDEMPOTENT
                        && call.attempts.size() + 1 < settings.limits().maxAttempts()
                        && most - patience > call.learned.typicalMs()
                ? patience
                : most;
    }
}
