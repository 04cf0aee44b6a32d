package lemonrail.admin;

import io.netty.handler.codec.http.HttpMethod;

/** Handles the requests of an admin API. */
public interface AdminHandlers {

    /**
     * Handles one request, on the event loop.
     *
     * @param uri path and query as the client sent them
     */
    AdminResponse handle(HttpMethod method, String uri, byte[] body);
}
