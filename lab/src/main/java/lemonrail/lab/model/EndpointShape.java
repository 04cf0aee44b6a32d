package lemonrail.lab.model;

/**
 * Fixed properties of an endpoint.
 *
 * @param id endpoint id in the endpoint list
 * @param rack index of the rack; endpoints of one rack drop each other's repeated requests
 * @param cores number of jobs that run at full speed at once; more jobs share the cores evenly
 * @param speed speed of each core; 1 does a millisecond of work per millisecond
 * @param slots maximum number of requests in work; a request that calls the next tier keeps its slot
 * @param queueCapacity maximum number of requests that wait for a slot; further ones are rejected without work
 * @param connections maximum number of open connections; further ones are reset
 * @param handshakeMs work that each new connection costs
 * @param cold how the endpoint starts
 * @param crowding how the endpoint slows down while it has too many requests
 */
public record EndpointShape(
        String id,
        int rack,
        int cores,
        double speed,
        int slots,
        int queueCapacity,
        int connections,
        double handshakeMs,
        ColdStart cold,
        Crowding crowding) {

    /** Whether an endpoint warms up with time only or also with the work that it has done. */
    public enum Warming {
        TIME,
        WORK
    }

    /**
     * How an endpoint starts: with a share of its full capacity, which grows linearly to 1. Warming by work is
     * never slower than warming by time. An endpoint that is sent more than a multiple of its present capacity
     * within a window collapses and stays down until it is restarted.
     *
     * @param share fraction of the full capacity at the start, above 0; 1 if the endpoint is never cold
     * @param warmMs time from the start to full capacity; 0 if the endpoint is never cold
     * @param by what the endpoint warms up with
     * @param tipMultiple multiple of the present capacity that it tolerates; infinite if it never collapses
     * @param windowMs length of the window over which the work sent to it is summed
     */
    public record ColdStart(double share, double warmMs, Warming by, double tipMultiple, double windowMs) {
        /** Full capacity from the start. */
        public static final ColdStart NONE = new ColdStart(1, 0, Warming.TIME, Double.POSITIVE_INFINITY, 1000);
    }

    /**
     * How an endpoint slows down when crowded. With more than {@code perCore} requests per core for {@code afterMs}
     * it becomes slower by {@code factor}, until it has been mostly idle for {@code idleMs} or {@code maxMs} have
     * passed.
     *
     * @param perCore requests per core, in work or queued; infinite if crowding has no effect
     * @param afterMs time above {@code perCore} after which the endpoint slows down
     * @param factor how many times slower a crowded endpoint is
     * @param idleMs time for which it must be mostly idle to recover
     * @param maxMs time after which it recovers in any case
     */
    public record Crowding(double perCore, double afterMs, double factor, double idleMs, double maxMs) {
        /** Crowding has no effect. */
        public static final Crowding NONE = new Crowding(Double.POSITIVE_INFINITY, 0, 1, 0, 0);
    }
}
