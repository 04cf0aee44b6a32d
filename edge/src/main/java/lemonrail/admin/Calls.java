package lemonrail.admin;

import io.netty.handler.codec.http.HttpMethod;

/** What the door's calls do. */
public interface Calls {

    /** Carries a call out. */
    Answer answer(HttpMethod method, String uri, byte[] body);
}
