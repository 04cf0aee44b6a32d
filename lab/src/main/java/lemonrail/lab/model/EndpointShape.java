package lemonrail.lab.model;

/**
 * What an endpoint is.
 *
 * @param id its name in discovery's list
 * @param rack those of one rack drop each other's repeats
 * @param cores jobs that run at full speed at once; more of them share the cores evenly
 * @param speed of each core, where 1 does a millisecond of work in a millisecond
 * @param slots requests in work at once; one that calls the next tier keeps its slot
 * @param waitingRoom requests that may wait for a slot; beyond it they are turned away unseen
 * @param connections open at once; more are turned away
 * @param handshakeMs work that each new connection costs
 */
public record EndpointShape(
        String id,
        int rack,
        int cores,
        double speed,
        int slots,
        int waitingRoom,
        int connections,
        double handshakeMs,
        ColdStart cold,
        Crowding crowding) {

    /** Whether an endpoint warms with the time or with the work that it has done. */
    public enum Warming {
        TIME,
        WORK
    }

    /**
     * How an endpoint begins: with a share of what it can do, growing evenly to the whole, by work too never
     * slower than by time. Where in a window more than a multiple of what it can do then is sent to it, it
     * falls over and stays down.
     *
     * @param share of its full capacity at its start, above 0, and 1 where it is never cold
     * @param tipMultiple times its present capacity that it bears, or infinite where it never falls
     */
    public record ColdStart(double share, double warmMs, Warming by, double tipMultiple, double windowMs) {
        /** Warm at once. */
        public static final ColdStart NONE = new ColdStart(1, 0, Warming.TIME, Double.POSITIVE_INFINITY, 1000);
    }

    /**
     * How an endpoint slows when crowded: with more than so many requests a core for a while it turns slower,
     * and stays so until it has been mostly idle for a while, or for so long at most.
     *
     * @param perCore requests held, in work or waiting; infinite where crowding does nothing
     * @param factor so many times slower
     */
    public record Crowding(double perCore, double afterMs, double factor, double calmMs, double mostMs) {
        /** Crowding does nothing. */
        public static final Crowding NONE = new Crowding(Double.POSITIVE_INFINITY, 0, 1, 0, 0);
    }
}
