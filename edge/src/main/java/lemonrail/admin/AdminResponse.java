package lemonrail.admin;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * An answer of the admin API.
 *
 * @param text ends with a line break
 * @param allowed the only method of this path, where another was used; else null
 */
public record AdminResponse(HttpResponseStatus status, String text, HttpMethod allowed) {

    /** An answer of one line. */
    public static AdminResponse of(HttpResponseStatus status, String line) {
        return new AdminResponse(status, line + "\n", null);
    }
}
