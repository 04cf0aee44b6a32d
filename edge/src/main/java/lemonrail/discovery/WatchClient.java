package lemonrail.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Sends the requests of one watch, one at a time. The time limit of each request includes the connect. Belongs
 * to the event loop.
 */
public final class WatchClient {

    /** Receives the outcome of each request, by exactly one of the two calls. */
    public interface Listener {
        /** Called when the response is complete. */
        void onResponse(int status, byte[] body);

        /** Called when the request has failed, after its connection is closed. */
        void onFailure(Object reason);
    }

    private final EventLoop loop;
    private final HttpGetClient http;
    private String uri;
    private Future<?> timeout;

    /**
     * Creates a client without a connection.
     *
     * @param connectTimeoutMs the connect timeout
     * @param maxResponseBytes the maximum size of a response body; a larger one fails the request
     */
    public WatchClient(EventLoop loop, int connectTimeoutMs, int maxResponseBytes, Listener listener) {
        this.loop = loop;
        http = new HttpGetClient(loop, connectTimeoutMs, maxResponseBytes, new HttpGetClient.Listener() {
            @Override
            public String onConnected() {
                return uri;
            }

            @Override
            public void onResponse(int status, byte[] body) {
                cancelTimeout();
                listener.onResponse(status, body);
            }

            @Override
            public void onFailure(Object reason) {
                cancelTimeout();
                listener.onFailure(reason);
            }
        });
    }

    /** Returns whether a request is in flight, including one that is still connecting. */
    public boolean isInFlight() {
        return http.isInFlight();
    }

    /**
     * Sends a request.
     *
     * @param timeoutMs the time limit for the complete response, including the connect
     * @throws IllegalStateException if a request is already in flight
     */
    public void send(InetSocketAddress target, String requestUri, int timeoutMs) {
        if (http.isInFlight()) {
            throw new IllegalStateException("a request is already in flight");
        }
        uri = requestUri;
        timeout = loop.schedule(
                () -> http.fail("timed out before the response was complete"), timeoutMs, TimeUnit.MILLISECONDS);
        http.send(target);
    }

    /** Closes the connection and drops a request in flight without a call of the listener. */
    public void close() {
        cancelTimeout();
        http.close();
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
