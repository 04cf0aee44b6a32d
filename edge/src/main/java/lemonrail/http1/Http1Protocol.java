package lemonrail.http1;

import java.net.InetAddress;
import java.nio.file.Path;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;

/** HTTP/1.1 over plain TCP (RFC 9112), between clients and the sidecar and between the sidecar and endpoints. */
public final class Http1Protocol implements Protocol<RequestMessage, UpstreamResponse> {

    @Override
    public Upstream<RequestMessage, UpstreamResponse> createUpstream(EventLoopContext context, int maxConnections) {
        return new UpstreamConnectionPool(context, maxConnections);
    }

    @Override
    public Downstream createDownstream(
            EventLoopContext context,
            RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher,
            int maxConnections) {
        return new HttpServer(context, dispatcher, maxConnections);
    }

    @Override
    public void warmUp(EventLoopContext context, InetAddress listenAddress, Path scratchFile, Runnable onDone) {
        new WarmUp(context, listenAddress, scratchFile, onDone).start();
    }

    @Override
    public int overflowConnections() {
        return HttpServer.OVERFLOW_CONNECTIONS;
    }
}
