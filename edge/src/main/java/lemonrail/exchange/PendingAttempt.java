package lemonrail.exchange;

import io.netty.util.concurrent.Future;

/** One attempt of a request, and what is known of its course; times are in milliseconds. */
final class PendingAttempt {
    final int number;
    final String server;
    /** When the endpoint could begin: the time that a large body takes is none of the endpoint's. */
    double sentAt;
    /** How long it took from there until the request was written whole; negative before. */
    double connectMs = -1;
    /** How long it took until a large answer's first bytes; what its client then takes is no measure. */
    double firstBytesMs = -1;

    Upstream.Attempt attempt;
    Future<?> timeout;
    boolean ended;
    /** Not to be begun any more from then on, as its endpoint leaves. */
    double beginsBefore = Double.POSITIVE_INFINITY;
    /** The same, as endpoints drop a key's repeat for so long only. */
    final double windowEnds;

    PendingAttempt(int number, String server, double sentAt, double windowEnds) {
        this.windowEnds = windowEnds;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
    }
}
