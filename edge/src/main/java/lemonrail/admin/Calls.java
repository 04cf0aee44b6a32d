package lemonrail.admin;

import io.netty.handler.codec.http.HttpMethod;

/** What the calls of an admin API do. */
public interface Calls {

    /** Carries a call out. */
    Answer answer(HttpMethod method, String uri, byte[] body);
}
