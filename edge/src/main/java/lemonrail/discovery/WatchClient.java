package lemonrail.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Sends the requests of one watch, one at a time, each with a time limit that includes the connect. Belongs to
 * the event loop.
 */
public final class WatchClient {

    /** Receives the outcome of a request: one of the two, once. */
    public interface Listener {
        /** The response is complete. */
        void onResponse(int status, byte[] body);

        /** There will be no response; the connection is closed. */
        void onFailure(Object reason);
    }

    private final EventLoop loop;
    private final HttpGetClient http;
    private String uri;
    private Future<?> timeout;

    /**
     * Creates a client without a connection.
     *
     * @param connectTimeoutMs the time for a connection
     * @param maxResponseBytes the largest response body
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

    /** Returns whether a request is in flight. */
    public boolean isInFlight() {
        return http.isInFlight();
    }

    /**
     * Sends a request.
     *
     * @param timeoutMs the time until the response must be complete, the connect included
     * @throws IllegalStateException if a request is in flight
     */
    public void send(InetSocketAddress target, String requestUri, int timeoutMs) {
        if (http.isInFlight()) {
            throw new IllegalStateException("a request is in flight already");
        }
        uri = requestUri;
        timeout = loop.schedule(() -> http.fail("no answer in time"), timeoutMs, TimeUnit.MILLISECONDS);
        http.send(target);
    }

    /** Closes the connection; a request in flight ends without notice to the listener. */
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
