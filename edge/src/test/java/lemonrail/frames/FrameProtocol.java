package lemonrail.frames;

import java.net.InetAddress;
import java.nio.file.Path;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;

/** A second protocol, which tests use to show that the request dispatcher is independent of HTTP. */
public final class FrameProtocol implements Protocol<FrameRequest, Frame> {

    @Override
    public Upstream<FrameRequest, Frame> createUpstream(EventLoopContext context, int maxConnections) {
        return new FrameUpstream(context, maxConnections);
    }

    @Override
    public Downstream createDownstream(
            EventLoopContext context, RequestDispatcher<FrameRequest, Frame> dispatcher, int maxConnections) {
        return new FrameDownstream(context, dispatcher, maxConnections);
    }

    @Override
    public void warmUp(EventLoopContext context, InetAddress listenAddress, Path scratchFile, Runnable onDone) {
        onDone.run();
    }

    @Override
    public int overflowConnections() {
        return 0;
    }
}
