package lemonrail.admin;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A response of the admin API.
 *
 * @param text the body, which ends with a line break
 * @param allowed the only method that the path supports, if the request used another one; else null
 */
public record AdminResponse(HttpResponseStatus status, String text, HttpMethod allowed) {

    /** Returns a response of one line. */
    public static AdminResponse of(HttpResponseStatus status, String line) {
        return ofText(status, line + "\n");
    }

    /** Returns a response with a text of several lines, the last of which ends with a line break as well. */
    public static AdminResponse ofText(HttpResponseStatus status, String text) {
        return new AdminResponse(status, text, null);
    }

    /** Returns the response to a request whose method is not the one that the path supports. */
    public static AdminResponse methodNotAllowed(HttpMethod allowed) {
        String text = "this path takes " + allowed + " only\n";
        return new AdminResponse(HttpResponseStatus.METHOD_NOT_ALLOWED, text, allowed);
    }
}
