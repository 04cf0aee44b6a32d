package lemonrail.admin;

import io.netty.handler.codec.http.HttpMethod;

/** What the calls of an admin API do. */
public interface AdminHandlers {

    /** Carries a call out. */
    AdminResponse answer(HttpMethod method, String uri, byte[] body);
}
