package lemonrail.admin;

import io.netty.handler.codec.http.HttpMethod;

/** Handles the requests of one admin API. */
public interface AdminHandler {

    /**
     * Handles one request; called on the event loop.
     *
     * @param uri the path and query as the client sent them
     * @param body the request body, empty if there is none
     */
    AdminResponse handle(HttpMethod method, String uri, byte[] body);
}
