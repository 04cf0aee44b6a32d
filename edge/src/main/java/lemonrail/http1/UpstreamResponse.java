package lemonrail.http1;

/**
 * An endpoint's final answer as it came.
 *
 * @param notRun the endpoint says that the request never began
 * @param keepAlive the connection may go on
 * @param contentType the body's type, or null
 * @param length of the body, -1 where that is not told ahead
 * @param body the body, empty where it is passed on as it comes
 */
public record UpstreamResponse(
        int status, boolean notRun, boolean keepAlive, String contentType, long length, byte[] body) {}
