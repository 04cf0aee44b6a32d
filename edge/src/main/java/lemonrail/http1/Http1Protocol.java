package lemonrail.http1;

import java.net.InetAddress;
import java.nio.file.Path;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;

/** HTTP/1.1 over plain TCP, from client to endpoint (RFC 9112). */
public final class Http1Protocol implements Protocol<RequestMessage, UpstreamResponse> {

    /** The largest body, either way, that is held whole, in bytes. */
    public static final int MAX_HELD_BYTES = ResponseReader.MAX_HELD_BYTES;

    @Override
    public Upstream<RequestMessage, UpstreamResponse> upstream(EventLoopContext shard, int mostConnections) {
        return new UpstreamConnectionPool(shard, mostConnections);
    }

    @Override
    public Downstream front(
            EventLoopContext shard, RequestDispatcher<RequestMessage, UpstreamResponse> exchange, int mostConnections) {
        return new HttpServer(shard, exchange, mostConnections);
    }

    @Override
    public void warmUp(EventLoopContext shard, InetAddress at, Path scratch, Runnable done) {
        new Warmup(shard, at, scratch, done).start();
    }

    @Override
    public int overflow() {
        return HttpServer.OVERFLOW;
    }
}
