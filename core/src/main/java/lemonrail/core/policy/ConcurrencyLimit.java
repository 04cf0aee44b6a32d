package lemonrail.core.policy;

import lemonrail.core.LoadSheddingReport;
import lemonrail.core.TokenBucket;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.RequestClass;

/** How many calls may be out at once, learned from outcomes, and who is turned away. */
final class ConcurrencyLimit {

    /** Calls a server, over all balancers, that the limit starts from, and that it keeps: one is no crowd. */
    static final double FIRST_CALLS = 4;

    private static final double LEAST_CALLS = 1;
    /** What is left of the remembered peak after one refill pause. */
    private static final double PEAK_DECAY = 0.996;
    /** The share of the pool's bound kept for calls of more worth. */
    private static final double RESERVE = 0.2;
    /** Calls at the first tier that are beyond their tenant's allowance get this part of the limit. */
    private static final double BEYOND_SHARE = 0.6;
    /** For so long after a call within its share was turned away, none beyond its share is taken. */
    private static final double SHARE_FIRST_MS = 1000;
    /** Seconds of a tenant's allowance that may be saved up: clients come in bursts. */
    private static final double ALLOWANCE_SAVINGS_S = 2;
    /** The part of what the aim leaves beyond the base time that answers may take on average. */
    private static final double COMFORT = 0.2;
    /** The part of it left where the limit is small, and the limit from which all of it counts. */
    private static final double LEAST_COMFORT = 0.5;

    private static final double AMPLE_LIMIT = 3;
    /** The most that one answer's time counts for, either way. */
    private static final double MOST_EXCESS = 2;
    /** Weight of a new outcome in the pressure, and what a crowded pool's limit is cut to. */
    private static final double PRESSURE_GAIN = 1.0 / 16;

    private static final double CUT = 0.85;
    /** While answers are slow, no server may hold more than this multiple of what the limit stands for. */
    private static final double CASCADE = 2;

    private BalancerSettings settings;
    private final SlotRanking ranks;
    private final OutlierDetector health;
    private final ZoneAffinity locality;
    private double mostWorth;
    int inFlight;
    double peak;
    /** When an attempt last ended, and how long it took. */
    private double lastEnd;

    private double lastTook;
    /** How many calls may be out at once before the first tier turns more away. */
    double limit;
    /** What the servers could do that it was last sized for. */
    private double capacity;
    /** What outcomes took beyond the base time, as a part of what the aim leaves, on recent average. */
    private double pressure;

    private double nextCut;
    private double quickUntil;
    private final LoadSheddingReport report;
    /** When a call within its tenant's share was last turned away. */
    private double shareTurnedAway = Double.NEGATIVE_INFINITY;
    /** This balancer's part of each tenant's allowance. */
    private final TokenBucket[] allowances;

    ConcurrencyLimit(
            BalancerSettings settings,
            SlotRanking ranks,
            OutlierDetector health,
            ZoneAffinity locality,
            LoadSheddingReport report) {
        this.report = report;
        this.settings = settings;
        this.ranks = ranks;
        this.health = health;
        this.locality = locality;
        allowances =
                settings.tenants().stream().map(tenant -> new TokenBucket(0, 0)).toArray(TokenBucket[]::new);
        adopt(settings);
    }

    /** Goes by the worths and allowances of these settings from now on. */
    void adopt(BalancerSettings changed) {
        settings = changed;
        double worth = settings.classes().stream()
                .mapToDouble(RequestClass::priorityWeight)
                .max()
                .orElse(0);
        mostWorth = worth > 0 ? worth : 1;
        for (int i = 0; i < allowances.length; i++) {
            double perMs = settings.tenants().get(i).requestsPerSecond() / settings.balancers() / 1000;
            allowances[i].rate(perMs, 1 + ALLOWANCE_SAVINGS_S * 1000 * perMs);
        }
    }

    /** Takes in what the ready servers can surely do together, in warm ones. */
    void resize(double able) {
        if (limit == 0) {
            limit = Math.min(SlotPool.CEILING, Math.max(1, FIRST_CALLS * able / settings.balancers()));
            quickUntil = 2 * limit;
        } else if (capacity > 0 && able > 0) {
            // What was learned holds for each server: fewer, or cold ones, must not get the calls of all.
            limit = Math.min(SlotPool.CEILING, limit * able / capacity);
            quickUntil *= able / capacity;
        }
        capacity = able;
    }

    /** Whether there is room for a call. Lower tiers do not shed: a call there carries work done above. */
    boolean admits(double now, InFlightRequest call) {
        call.withinShare = settings.tier() > 0 || allowances.length == 0 || allowances[call.request.tenant()].take(now);
        boolean admitted = hasRoom(now, call);
        if (!admitted) {
            shareTurnedAway = call.withinShare ? now : shareTurnedAway;
            report.turnedAway();
        }
        return admitted;
    }

    private boolean hasRoom(double now, InFlightRequest call) {
        if (settings.tier() > 0) {
            return inFlight < SlotPool.CEILING;
        }
        // The last of what there is is for calls of more worth.
        double most = limit
                * ((call.withinShare ? 1 : BEYOND_SHARE)
                        * (1 - RESERVE * (1 - call.kind.priorityWeight() / mostWorth)));
        if (call.withinShare) {
            return most >= 1 ? inFlight < most : inFlight == 0 && now >= pacedUntil(most);
        }
        // Where the limit is a call or two, a flood would take it all again and again: it must fit well.
        return now - shareTurnedAway >= SHARE_FIRST_MS && inFlight < most - 0.5;
    }

    /** A limit below one call is a pace: on average no more than that part of a call is out. */
    private double pacedUntil(double most) {
        return lastEnd + lastTook * (1 / most - 1);
    }

    void sent() {
        inFlight++;
        peak = Math.max(peak, inFlight);
    }

    /** The peak as it has been, which fades from here on. */
    double fadingPeak() {
        double before = peak;
        peak = Math.max(inFlight, peak * PEAK_DECAY);
        return before;
    }

    /** Moves the limit by an outcome: down while answers take too much of the aim, else slowly up. */
    void judge(double now, InFlightRequest call, InFlightRequest.Attempt attempt, AttemptResult finished) {
        lastEnd = now;
        lastTook = finished.endpointTimeMs();
        EndpointRecord target = attempt.slot().target;
        if (!tellsOfCrowding(finished.outcome())
                || (finished.outcome() == AttemptOutcome.TIMED_OUT && health.hangs(now, target))) {
            return;
        }
        double ratio = finished.outcome() == AttemptOutcome.QUEUE_FULL ? 1 : excess(call, finished);
        locality.crowding(target, ratio);
        if (finished.outcome() == AttemptOutcome.OK) {
            target.answered(now, ratio);
        } else if (finished.outcome() == AttemptOutcome.TIMED_OUT
                && target.lastAnswer > attempt.sentAt()
                // It has answered others since, in comfort: the lost call tells no more than they do.
                && target.crowding < comfort()
                && target.inFlight <= Math.max(1, limit / ranks.ready)) {
            ratio = Math.min(ratio, target.crowding);
        }
        // A balancer with few calls at once has few answers a second: each must then tell more.
        pressure += Math.max(PRESSURE_GAIN, 1 / (2 + 2 * limit)) * (ratio - pressure);
        if (pressure > comfort()) {
            if (now >= nextCut) {
                limit = Math.max(share(LEAST_CALLS), Math.min(limit, peak + 1) * CUT);
                nextCut = now + call.learned.typicalMs();
                // What was slow before a cut must not cut again; where balancers outnumber servers it may.
                pressure = growth() < 1 ? pressure : comfort();
            }
        } else if (finished.outcome() == AttemptOutcome.OK && inFlight * 2 >= limit) {
            // Where balancers are few, a drained one's calls come at once: a step a round would refuse many.
            boolean sought = growth() == 1 && now - shareTurnedAway < SHARE_FIRST_MS;
            boolean quick = (limit < quickUntil || sought) && pressure < comfort() / 2;
            limit = Math.min(SlotPool.CEILING, limit + Math.min(limit, (quick ? 1 : 1 / limit) * growth()));
        }
    }

    /** How crowded servers are shows in what they answer and when; each such word moves the limit once. */
    private static boolean tellsOfCrowding(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.OK
                || outcome == AttemptOutcome.TIMED_OUT
                || outcome == AttemptOutcome.QUEUE_FULL;
    }

    /**
     * What an attempt took beyond the base time, as a part of what the aim leaves. Quicker answers count
     * below zero: calls differ in work, and if only the slow ones counted, that would pass for crowding.
     */
    private static double excess(InFlightRequest call, AttemptResult finished) {
        double base = call.learned.baseMs();
        double aim = call.kind.latencyObjectiveMs();
        double ratio = (finished.endpointTimeMs() - base) / Math.max(aim - base, aim / 4);
        // How long it would have taken is not known of an answer that has not come.
        double least = finished.outcome() == AttemptOutcome.OK ? -MOST_EXCESS : 0;
        return Math.max(least, Math.min(MOST_EXCESS, ratio));
    }

    /** Against a cascade: while answers are slow, calls that leave one server must not crowd the next. */
    boolean crowds(Slot slot) {
        return settings.tier() == 0
                && pressure > comfort() / 2
                && ranks.formula(slot)
                        >= Math.max(FIRST_CALLS, CASCADE * Math.max(1, limit) * settings.balancers() / ranks.ready);
    }

    /** Whose part is a call or two has few answers, large steps, and keeps off; not who was cut to it. */
    private double comfort() {
        double part = Math.max(limit, share(FIRST_CALLS));
        return COMFORT * Math.max(LEAST_COMFORT, Math.min(1, part / AMPLE_LIMIT));
    }

    /** Its part of so many calls a server. */
    private double share(double calls) {
        return calls * capacity / settings.balancers();
    }

    /** Its part of one call a server: all balancers together move the fleet by that, however many. */
    private double growth() {
        return Math.min(1, (double) ranks.ready / settings.balancers());
    }
}
