package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/** A large response that is being forwarded, and how far it had been forwarded at an earlier time. */
final class StreamedResponse {

    private static final long NOT_MARKED = -1;

    private final PendingAttempt attempt;
    private final BodyPipe body;
    private long markedBytes = NOT_MARKED;

    StreamedResponse(PendingAttempt attempt, BodyPipe body) {
        this.attempt = attempt;
        this.body = body;
    }

    /** Returns the attempt whose response this is. */
    PendingAttempt attempt() {
        return attempt;
    }

    /** Notes how far the response has been forwarded. */
    void markProgress() {
        markedBytes = body.forwardedBytes();
    }

    /** Returns whether nothing has been forwarded since {@link #markProgress}; false if that was never called. */
    boolean isStalledSinceMark() {
        return markedBytes == body.forwardedBytes();
    }
}
