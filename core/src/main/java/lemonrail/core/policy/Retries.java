package lemonrail.core.policy;

import lemonrail.core.Contract.*;

/** Which calls may be sent again, where, and how often all of them together. */
final class Retries {

    /** Retries allowed for each request taken, and how many may be saved up for when many servers die. */
    private static final double SHARE = 0.2;

    private static final double SAVINGS = 10;
    /** An attempt that could be repeated is given up after this multiple of its class's tail time. */
    private static final double PATIENCE = 1.5;
    /** The part of its window in which a keyed call may be repeated. */
    private static final double WINDOW_SHARE = 0.9;

    Settings settings;
    private double left = SAVINGS;

    Retries(Settings settings) {
        this.settings = settings;
    }

    void taken() {
        left = Math.min(SAVINGS, left + SHARE);
    }

    boolean allows(double now, Call call, Outcome outcome) {
        if (call.out > 0
                || call.attempts.size() >= settings.limits().tries()
                || outcome == Outcome.IGNORED
                || call.usefulUntil - now < call.learned.typicalMs() / 2
                || (call.mayHaveRun != null
                        && (call.kind.effect() == Effect.ONCE
                                || (call.kind.effect() == Effect.BY_KEY
                                        && now - call.mayHaveRun.sentAt() >= call.kind.windowMs() * WINDOW_SHARE)))) {
            return false;
        }
        // Retries feed on themselves when all is slow, and multiply from tier to tier.
        boolean allowed = left >= 1;
        left -= allowed ? 1 : 0;
        return allowed;
    }

    /** Only the group that remembers a keyed call's first run drops its repeat. */
    static boolean sameGroup(Call call, Target target) {
        return call.mayHaveRun == null
                || call.kind.effect() != Effect.BY_KEY
                || call.kind.group().holds(call.mayHaveRun.slot().target.listed, target.listed);
    }

    /** How long to wait: a hung server must not eat all of a call's time while another could serve it. */
    double timeout(double now, Call call) {
        double most = call.usefulUntil - now;
        double patience =
                Math.max(call.learned.tailMs() * PATIENCE, settings.limits().connectTimeoutMs());
        return call.kind.effect() != Effect.ONCE
                        && call.attempts.size() + 1 < settings.limits().tries()
                        && most - patience > call.learned.typicalMs()
                ? patience
                : most;
    }
}
