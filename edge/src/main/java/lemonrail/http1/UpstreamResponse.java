package lemonrail.http1;

import lemonrail.core.balancer.AttemptOutcome;

/**
 * The final response of an endpoint to one attempt.
 *
 * @param status the status code
 * @param notExecuted whether the endpoint states that it has not started to execute the request
 * @param keepAlive whether the endpoint keeps the connection open after this response
 * @param contentType the media type of the body, or null
 * @param length the length of the body in bytes, or -1 if the head does not contain it
 * @param body the body, which is empty if it is streamed
 */
public record UpstreamResponse(
        int status, boolean notExecuted, boolean keepAlive, String contentType, long length, byte[] body) {

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Returns the outcome of the attempt that got this response. */
    AttemptOutcome outcome() {
        if (status == OK) {
            return AttemptOutcome.OK;
        }
        if (notExecuted && (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT)) {
            return AttemptOutcome.QUEUE_FULL;
        }
        // A client error gives no information about the health of the endpoint.
        boolean clientError = status >= 400 && status < 500;
        return clientError ? AttemptOutcome.IGNORED : AttemptOutcome.FAILED;
    }
}
