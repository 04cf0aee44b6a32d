package lemonrail.admin;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A response of the admin API.
 *
 * @param text the body, which ends with a line break
 * @param allowed the only method that the path supports if the request used a different one, otherwise null
 */
public record AdminResponse(HttpResponseStatus status, String text, HttpMethod allowed) {

    /** Returns a response whose body is one line, to which a line break is added. */
    public static AdminResponse of(HttpResponseStatus status, String line) {
        return ofText(status, line + "\n");
    }

    /** Returns a response whose body has several lines; the last line must end with a line break. */
    public static AdminResponse ofText(HttpResponseStatus status, String text) {
        return new AdminResponse(status, text, null);
    }

    /** Returns the response to a request whose method the path does not support. */
    public static AdminResponse methodNotAllowed(HttpMethod allowed) {
        String text = "method not allowed: this path supports only " + allowed + "\n";
        return new AdminResponse(HttpResponseStatus.METHOD_NOT_ALLOWED, text, allowed);
    }
}
