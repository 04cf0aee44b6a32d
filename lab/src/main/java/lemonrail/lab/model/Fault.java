package lemonrail.lab.model;

/**
 * One thing that goes wrong.
 *
 * @param tier whose endpoints or links it befalls
 * @param beginMs and lengthMs when, in ms of the run, which it may outlast
 * @param share of the tier's endpoints, at least one; 0 for all of one rack
 * @param size as its kind says
 */
public record Fault(Kind kind, int tier, double beginMs, double lengthMs, double share, double size) {

    /** What can go wrong, and what its size means. */
    public enum Kind {
        /** The machine goes silent and comes back cold. */
        VANISH,
        /** So many times slower. */
        SLOW,
        /** Takes requests and answers none. */
        HANG,
        /** Does its work and answers with errors. */
        FAIL,
        /** Drains, ends and starts again cold, one endpoint after another within the length. */
        RESTART,
        /** Wants nothing new; back in service at the end. */
        DRAIN,
        /** All connections are reset at the beginning, and each new one after so many milliseconds. */
        RESET,
        /** Discovery answers nothing. */
        LIST_DOWN,
        /** The list leaves these endpoints out. */
        LIST_SHRINKS,
        /** Discovery starts anew, its versions too. */
        LIST_RESTARTS,
        /** Connections stay open and carry nothing more; new ones work. */
        HALF_OPEN,
        /** So many milliseconds more, each way. */
        DELAY,
        /** Of each piece so large a share is lost, and comes after a repeat, 200 ms later. */
        LOSS,
        /** So many times the usual traffic. */
        BURST;

        /** Whether it befalls the links to endpoints. */
        public boolean isOfLinks() {
            return this == RESET || this == HALF_OPEN || this == DELAY || this == LOSS;
        }
    }

    /** When it ends. */
    public double endMs() {
        return beginMs + lengthMs;
    }
}
