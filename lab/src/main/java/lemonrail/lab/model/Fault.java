package lemonrail.lab.model;

/**
 * A fault that is injected into a run.
 *
 * @param kind what goes wrong
 * @param tier index of the tier whose endpoints or links are affected
 * @param beginMs start of the fault, in ms since the run began
 * @param lengthMs duration in ms; the fault may outlast the run
 * @param share fraction of the tier's endpoints that are affected, at least one; 0 selects all of one rack
 * @param size magnitude, whose meaning and unit depend on the kind
 */
public record Fault(Kind kind, int tier, double beginMs, double lengthMs, double share, double size) {

    /** Kinds of faults, and what {@link Fault#size} means for each. */
    public enum Kind {
        /** The endpoint goes silent and restarts cold at the end. */
        VANISH,
        /** The endpoint is slower by the factor {@code size}. */
        SLOW,
        /** The endpoint accepts requests and does not answer. */
        HANG,
        /** The endpoint does its work and answers with errors. */
        FAIL,
        /** A rolling restart within the length: each endpoint in turn drains, ends and starts cold. */
        RESTART,
        /** The endpoint drains, and is back in service at the end. */
        DRAIN,
        /** All connections are reset at the beginning, and each new one after {@code size} ms. */
        RESET,
        /** Discovery does not answer. */
        LIST_DOWN,
        /** The endpoint list omits the affected endpoints. */
        LIST_SHRINKS,
        /** Discovery restarts, and its versions start over. */
        LIST_RESTARTS,
        /** Existing connections stay open but carry no more data; new ones work. */
        HALF_OPEN,
        /** {@code size} ms more delay in each direction. */
        DELAY,
        /** A fraction {@code size} of all chunks is lost and arrives 200 ms later, when it is retransmitted. */
        LOSS,
        /** {@code size} times the usual traffic. */
        BURST;

        /** Returns whether this kind affects the links to endpoints. */
        public boolean isOfLinks() {
            return this == RESET || this == HALF_OPEN || this == DELAY || this == LOSS;
        }
    }

    /** Returns the end of the fault, in ms since the run began. */
    public double endMs() {
        return beginMs + lengthMs;
    }
}
