package lemonrail.core;

import java.util.function.Consumer;

/** Counts what operators should hear of, and makes one line of it at most once in a while. */
public final class LoadSheddingReport {

    private static final double EVERY_MS = 10_000;

    private double next;
    private int turnedAway;
    private int fullServers;
    private int ejections;

    /** A call was turned away. */
    public void turnedAway() {
        turnedAway++;
    }

    /** An attempt met a full server. */
    public void metFullServer() {
        fullServers++;
    }

    /** A server was put on trial. */
    public void ejected() {
        ejections++;
    }

    /** Tells the line that is due now, with how things stand, if one is and there is anything to tell. */
    public void tell(double now, int tier, double limit, int ailing, int ready, Consumer<String> operators) {
        if (now < next) {
            return;
        }
        next = now + EVERY_MS;
        if (turnedAway + fullServers + ejections > 0) {
            operators.accept("tier " + tier + ": " + turnedAway + " calls turned away at a limit of "
                    + Math.round(limit) + " at once, " + fullServers + " attempts met a full server, " + ejections
                    + " times a server was put on trial; " + ailing + " of " + ready + " on trial now");
        }
        turnedAway = 0;
        fullServers = 0;
        ejections = 0;
    }
}
