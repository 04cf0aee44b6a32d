package lemonrail.http1;

import lemonrail.core.balancer.AttemptOutcome;

/**
 * An endpoint's final response.
 *
 * @param status the status code
 * @param notRun whether the endpoint says that it never began the request
 * @param keepAlive whether the connection persists after this response
 * @param contentType the body's media type, or null
 * @param length the body's length in bytes, -1 where the head does not tell it
 * @param body the body, empty where it is streamed
 */
public record UpstreamResponse(
        int status, boolean notRun, boolean keepAlive, String contentType, long length, byte[] body) {

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Returns the outcome that this response means for its attempt. */
    AttemptOutcome outcome() {
        if (status == OK) {
            return AttemptOutcome.OK;
        }
        if (notRun && (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT)) {
            return AttemptOutcome.QUEUE_FULL;
        }
        // A client error says nothing about the endpoint's health.
        boolean clientError = status >= 400 && status < 500;
        return clientError ? AttemptOutcome.IGNORED : AttemptOutcome.FAILED;
    }
}
