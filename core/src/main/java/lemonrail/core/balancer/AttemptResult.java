package lemonrail.core.balancer;

/**
 * The result of one attempt.
 *
 * @param request the request's id
 * @param attempt the attempt's number, from 0
 * @param endpoint the endpoint's id
 * @param outcome how the attempt ended
 * @param durationMs the time from the start of the attempt to its end
 * @param connectMs the part of the duration until the request was written, spent on connecting and not at the endpoint;
 *     0 if a connection was already open or the host does not know
 * @param concluded whether the client has received its final response
 * @param replayable whether the host still has the complete request and can send it again
 * @param load the endpoint's load report
 */
public record AttemptResult(
        String request,
        int attempt,
        String endpoint,
        AttemptOutcome outcome,
        double durationMs,
        double connectMs,
        boolean concluded,
        boolean replayable,
        LoadReport load) {

    /**
     * Creates the result of an attempt on a connection that was already open, whose request the host still has in full.
     */
    public AttemptResult(
            String request,
            int attempt,
            String endpoint,
            AttemptOutcome outcome,
            double durationMs,
            boolean concluded,
            LoadReport load) {
        this(request, attempt, endpoint, outcome, durationMs, 0, concluded, true, load);
    }

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is missing or out of range
     */
    public AttemptResult {
        Checks.requireNonNull("finished.request", request);
        Checks.requireNonNull("finished.outcome", outcome);
        Checks.requireNonNegative("finished.attempt", attempt);
        Checks.requireNonNegative("finished.took", durationMs);
        Checks.requireFinite("finished.took", durationMs);
        Checks.requireNonNegative("finished.connect", connectMs);
        Checks.requireFinite("finished.connect", connectMs);
    }

    /** Returns the time from the writing of the request to the end of the attempt, in milliseconds. */
    public double endpointTimeMs() {
        return Math.max(0, durationMs - connectMs);
    }
}
