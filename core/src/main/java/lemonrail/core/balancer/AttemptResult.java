package lemonrail.core.balancer;

/**
 * The result of one attempt.
 *
 * @param request the request's id
 * @param attempt the attempt's number, from 0
 * @param endpoint the endpoint's id
 * @param outcome how the attempt ended
 * @param durationMs the time from the start of the attempt to its end
 * @param connectMs the part of it until the request was written, which the connection took and not the endpoint;
 *     0 if a connection stood or the host does not know
 * @param concluded whether the client has had its final response
 * @param replayable whether the host still has the request whole and could send it again
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

    /** Creates the result of an attempt whose request the host still has whole, on a connection that stood. */
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
        Checks.given("finished.request", request);
        Checks.given("finished.outcome", outcome);
        Checks.notNegative("finished.attempt", attempt);
        Checks.notNegative("finished.took", durationMs);
        Checks.finite("finished.took", durationMs);
        Checks.notNegative("finished.connect", connectMs);
        Checks.finite("finished.connect", connectMs);
    }

    /** Returns how long the endpoint itself had the request, in milliseconds. */
    public double endpointTimeMs() {
        return Math.max(0, durationMs - connectMs);
    }
}
