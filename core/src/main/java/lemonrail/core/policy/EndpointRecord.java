package lemonrail.core.policy;

import lemonrail.core.StableHash;
import lemonrail.core.balancer.Endpoint;

/** What this balancer knows of one server. */
final class EndpointRecord {

    /** Weights of a new sample and of a new outcome in what is learned of a server. */
    static final double SERVER_GAIN = 1.0 / 12;

    static final double FAILING_GAIN = 1.0 / 4;

    final String id;
    final long hash;
    Endpoint listed;
    boolean forgotten;
    /** Bits of the slots in the pool, and the next slot outside it, if it may have one. */
    long held;

    Slot spare;
    int inFlight;
    int strikes;
    /** The recent share of outcomes that spoke against it. */
    double failing;
    /** When it last answered, and the usual time between its answers to this balancer; 0 before both. */
    double lastAnswer;

    double answerGapMs;
    /** How crowded it is by its answers of late, in the measure of the pressure. */
    double crowding;

    double pausedUntil;
    /** Connects that failed in a row, with nothing answered since. */
    int connectsFailed;
    /** After failures: one slot at a time until it has answered often enough. */
    boolean onTrial;

    int trialAnswers;
    double slowness = 1;
    double cost = 1;
    /** Whether it is listed as ready, and on the ring, as it has been so since places were last settled. */
    boolean ready;

    boolean onRing;
    long ringOrder;
    /** Its place there, the same at every balancer that has the same list; NaN while it has none. */
    double place = Double.NaN;

    EndpointRecord(Endpoint listed) {
        this.id = listed.id();
        this.listed = listed;
        this.hash = StableHash.of(id);
    }

    void answered(double now, double ratio) {
        crowding += FAILING_GAIN * (ratio - crowding);
        if (lastAnswer > 0) {
            double gap = now - lastAnswer;
            answerGapMs += (answerGapMs == 0 ? 1 : SERVER_GAIN) * (gap - answerGapMs);
        }
        lastAnswer = now;
    }
}
