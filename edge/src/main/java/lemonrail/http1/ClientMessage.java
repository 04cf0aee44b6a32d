package lemonrail.http1;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import lemonrail.net.BoundedHttpHeaders;
import lemonrail.streaming.BodyPipe;

/** A message that {@link RequestReader} passes on to {@link ClientConnection}. */
sealed interface ClientMessage {

    /**
     * A request.
     *
     * @param body the complete body, or the first part of a large one
     * @param remainingBody the rest of a large body, or null
     */
    record IncomingRequest(HttpRequest head, byte[] body, BodyPipe remainingBody) implements ClientMessage {

        /** Returns about how many bytes of memory the request holds, without the rest of its body. */
        long memoryBytes() {
            return BoundedHttpHeaders.memoryBytes(head.uri(), head.headers()) + body.length;
        }

        /** Returns whether the rest of the body follows through the pipe. */
        boolean isStreamed() {
            return remainingBody != null;
        }
    }

    /** The rest of a large body has been read. */
    record BodyComplete() implements ClientMessage {}

    /**
     * Input for which an error is sent; no further requests are read from the connection.
     *
     * @param reason the body of the response, which is also logged
     */
    record RequestError(HttpResponseStatus status, String reason) implements ClientMessage, MappedHead {}
}
