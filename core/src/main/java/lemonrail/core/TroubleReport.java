package lemonrail.core;

/** Counts what operators should hear of, and makes one line of it at most once in a while. */
public final class TroubleReport {

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

    /** The line that is due now, with how things stand, or null if none is or there is nothing to tell. */
    public String due(double now, int tier, double limit, int ailing, int ready) {
        if (now < next) {
            return null;
        }
        next = now + EVERY_MS;
        String line = turnedAway + fullServers + ejections == 0 ? null
            : "tier " + tier + ": " + turnedAway + " calls turned away at a limit of " + Math.round(limit)
                + " at once, " + fullServers + " attempts met a full server, " + ejections
                + " times a server was put on trial; " + ailing + " of " + ready + " on trial now";
        turnedAway = 0;
        fullServers = 0;
        ejections = 0;
        return line;
    }
}
