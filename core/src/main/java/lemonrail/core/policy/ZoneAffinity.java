package lemonrail.core.policy;

import lemonrail.core.balancer.BalancerSettings;

/** How far the own zone's slots come before those of others. */
final class ZoneAffinity {

    /** Other zones' slots rank after as many of the own zone's as this multiple of the usual calls need. */
    private static final double SPILL = 3;
    /** It gives way while the own zone is slower than others by this multiple of the price of crossing. */
    private static final double MARGIN = 6;
    /** What a refill pause in which it gave way leaves of it, and what any other gives back. */
    private static final double CUT = 0.7;

    private static final double REGAIN = 0.02;
    /** The refill pauses over which the usual calls at once are learned, and the weight of an outcome. */
    private static final double CALM_PAUSES = 200;

    private static final double GAIN = 1.0 / 16;

    private final BalancerSettings settings;
    private final SlotRanking ranks;
    private double lastTick;
    /** Base time of the calls taken since the last tick, and the calls at once that it usually makes. */
    private double demandMs;

    private double usual;
    /** What is added to the ranks of other zones' slots. */
    private double spill;
    /** The part of its full reach that locality has; how crowded the own and other zones were of late. */
    private double locality = 1;

    private double nearCrowding;
    private double farCrowding;

    ZoneAffinity(BalancerSettings settings, SlotRanking ranks) {
        this.settings = settings;
        this.ranks = ranks;
    }

    double spill(EndpointRecord target) {
        return ranks.isFar(target) ? spill : 0;
    }

    void demand(double baseMs) {
        demandMs += baseMs;
    }

    void crowding(EndpointRecord target, double ratio) {
        if (ranks.isFar(target)) {
            farCrowding += GAIN * (ratio - farCrowding);
        } else {
            nearCrowding += GAIN * (ratio - nearCrowding);
        }
    }

    /** Learns how many calls are usually out at once, and from it where other zones' slots begin. */
    void tick(double now, double pauseMs) {
        double elapsed = now - lastTick;
        lastTick = now;
        double atOnce = demandMs / Math.max(elapsed, 1);
        demandMs = 0;
        double pauses = Math.min(elapsed / pauseMs, CALM_PAUSES);
        // A sudden flood must not pass for usual: it counts for twice the usual at most.
        atOnce = usual == 0 ? atOnce : Math.min(atOnce, 2 * usual + 1);
        usual += (usual == 0 ? 0.1 : pauses / CALM_PAUSES) * (atOnce - usual);
        locality = nearCrowding > farCrowding + MARGIN * settings.crossZoneCost()
                ? locality * CUT
                : Math.min(1, locality + REGAIN);
        // Other zones are known only from calls sent there: old news fades to the best.
        farCrowding *= 1 - pauses / CALM_PAUSES;
        spill = ranks.readyInZone == 0 ? 0 : locality * SPILL * (usual + 1) * settings.balancers() / ranks.readyInZone;
    }
}
