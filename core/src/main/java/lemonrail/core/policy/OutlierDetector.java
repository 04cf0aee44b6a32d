package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.List;
import lemonrail.core.ConnectFailureRate;
import lemonrail.core.LatencyEstimator;
import lemonrail.core.LoadSheddingReport;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;

/** The servers' health: who pauses after a failure, and who is on trial. */
final class OutlierDetector {

    /** The share of a server's outcomes that may fail by chance, and the most doublings of its pause. */
    private static final double FAILING_SHARE = 0.4;

    private static final int MOST_DOUBLINGS = 5;
    /** A server silent for so many of its usual gaps hangs: by chance that is 2 in 100. */
    private static final double HANG_GAPS = 4;
    /** A server's slowness is kept below this factor: more would rest on too few samples. */
    private static final double SLOWEST = 8;

    private final SlotPool pool;
    private final BalancerSettings settings;
    private final List<EndpointRecord> paused = new ArrayList<>();
    /** Servers on trial. */
    int ailing;

    private final LoadSheddingReport report;
    private final ConnectFailureRate dials = new ConnectFailureRate();

    OutlierDetector(BalancerSettings settings, SlotPool pool, LoadSheddingReport report) {
        this.report = report;
        this.pool = pool;
        this.settings = settings;
    }

    /** Whether an outcome counts against the endpoint: a timeout does only if the attempt was a long one. */
    static boolean isFailure(InFlightRequest call, AttemptResult finished) {
        return switch (finished.outcome()) {
            case FAILED, CONNECT_ERROR, RESET -> true;
            case TIMED_OUT -> finished.endpointTimeMs() >= call.learned.tailMs();
            default -> false;
        };
    }

    /** Whether a ready endpoint gets fewer or no requests because of its failures. */
    static boolean isAvoided(double now, EndpointRecord target) {
        return target.ready && (target.onTrial || (target.held == 0 && now < target.pausedUntil));
    }

    /** Learns from how long a call has waited, with or without an answer. */
    void waited(double now, EndpointRecord target, LatencyEstimator known, double tookMs) {
        if (pool.cold.warmth(now, target) >= 1) {
            target.slowness +=
                    EndpointRecord.SERVER_GAIN * (Math.min(tookMs / known.typicalMs(), SLOWEST) - target.slowness);
            pool.reprice(now, target, false);
        }
    }

    /** Takes in the end of an attempt on this slot. */
    void judge(double now, Slot slot, AttemptOutcome outcome, boolean failed) {
        EndpointRecord target = slot.target;
        boolean alive = learnConnection(slot, outcome);
        if (outcome == AttemptOutcome.CONNECT_ERROR
                && dials.explains(target.connectsFailed)
                && pool.ranks.ready * ConcurrencyLimit.FIRST_CALLS >= settings.balancers()) {
            // As many fail at servers that are well. Where many share few, the sum of new dials needs pauses.
            pool.drop(slot);
            pool.offer(now, target);
        } else if (alive) {
            pool.drop(slot);
            pause(now, target, settings.limits().connectTimeoutMs() * 2);
        } else if (failed && !blamedOnShared()) {
            pool.drop(slot);
            if (fails(target, outcome)) {
                strike(now, target);
            }
            pool.offer(now, target);
        } else if (outcome == AttemptOutcome.OK) {
            target.failing -= EndpointRecord.FAILING_GAIN * target.failing;
            recover(now, target);
        }
        if (outcome == AttemptOutcome.QUEUE_FULL) {
            report.metFullServer();
            // It is crowded, not sick: no other slot is taken there for a while.
            pool.drop(slot);
            pause(now, target, settings.limits().connectTimeoutMs());
        }
    }

    /** True if only the connect failed while other connections stand, which at first tells nothing. */
    private boolean learnConnection(Slot slot, AttemptOutcome outcome) {
        if (!slot.connected && outcome != AttemptOutcome.CANCELED && outcome != AttemptOutcome.IGNORED) {
            pool.connected(outcome == AttemptOutcome.CONNECT_ERROR);
        }
        boolean cameUp = outcome == AttemptOutcome.OK
                || outcome == AttemptOutcome.FAILED
                || outcome == AttemptOutcome.QUEUE_FULL;
        if (cameUp && (!slot.connected || slot.target.connectsFailed > 0)) {
            dials.cameUp(slot.target.connectsFailed);
            slot.target.connectsFailed = 0;
        }
        slot.connected = cameUp;
        return outcome == AttemptOutcome.CONNECT_ERROR
                && ++slot.target.connectsFailed == 1
                && pool.hasOtherConnected(slot);
    }

    /** When half of all servers look bad, something they share is: giving them up would leave none. */
    private boolean blamedOnShared() {
        return ailing * 2 > pool.ranks.ready;
    }

    /** A crowded server answers late, a hung one not at all, and fewer calls help only the first. */
    boolean hangs(double now, EndpointRecord target) {
        return target.answerGapMs > 0 && now - target.lastAnswer > HANG_GAPS * target.answerGapMs && !blamedOnShared();
    }

    /** One error may be by chance, whoever sends it; a time-out or a failed connect seldom is. */
    private static boolean fails(EndpointRecord target, AttemptOutcome outcome) {
        target.failing += EndpointRecord.FAILING_GAIN * (1 - target.failing);
        return target.onTrial
                || (outcome != AttemptOutcome.FAILED && outcome != AttemptOutcome.RESET)
                || target.failing > FAILING_SHARE;
    }

    /** A failure: the server pauses, longer each time; at the second in a row it loses all its slots. */
    private void strike(double now, EndpointRecord target) {
        target.strikes = Math.min(target.strikes + 1, MOST_DOUBLINGS);
        target.trialAnswers = 0;
        if (!target.onTrial) {
            target.onTrial = true;
            ailing++;
            report.ejected();
        }
        pause(now, target, settings.limits().connectTimeoutMs() * (1 << target.strikes));
        if (target.strikes > 1) {
            pool.dropAll(target);
        }
    }

    private void pause(double now, EndpointRecord target, double ms) {
        if (target.pausedUntil <= now) {
            paused.add(target);
        }
        target.pausedUntil = Math.max(target.pausedUntil, now + ms);
        pool.offer(now, target);
    }

    private void recover(double now, EndpointRecord target) {
        if (!target.onTrial) {
            target.strikes = 0;
        } else if (++target.trialAnswers >= 1 << Math.min(target.strikes, 3)) {
            target.onTrial = false;
            ailing--;
            target.strikes /= 2;
            pool.offer(now, target);
        }
    }

    /** Lets those whose pause is over take part again. */
    void tick(double now) {
        List<EndpointRecord> over =
                paused.stream().filter(target -> target.pausedUntil <= now).toList();
        paused.removeAll(over);
        over.forEach(target -> pool.offer(now, target));
    }

    /** What the server did before counts no more. */
    void heal(EndpointRecord target) {
        if (target.onTrial) {
            target.onTrial = false;
            ailing--;
        }
        target.strikes = 0;
        target.failing = 0;
        target.pausedUntil = 0;
        target.slowness = 1;
        target.lastAnswer = 0;
        target.crowding = 0;
        target.answerGapMs = 0;
    }

    void forget(EndpointRecord target) {
        paused.remove(target);
    }
}
