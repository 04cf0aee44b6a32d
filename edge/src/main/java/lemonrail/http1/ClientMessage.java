package lemonrail.http1;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import lemonrail.streaming.BodyPipe;

/** What {@link RequestReader} passes on to a client's connection. */
sealed interface ClientMessage {

    /**
     * A request.
     *
     * @param body the body, or the first part of it
     * @param remainingBody the rest of a large body, or null
     */
    record IncomingRequest(HttpRequest head, byte[] body, BodyPipe remainingBody) implements ClientMessage {

        /** Returns whether a part of the body is still to come. */
        boolean isStreamed() {
            return remainingBody != null;
        }
    }

    /** The rest of a large body has been read. */
    record BodyComplete() implements ClientMessage {}

    /**
     * Input that cannot be served; nothing more is read from the connection.
     *
     * @param reason the response's body, and for the log
     */
    record RequestError(HttpResponseStatus status, String reason) implements ClientMessage, MappedHead {}
}
