package lemonrail.frames;

import java.net.InetAddress;
import java.nio.file.Path;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;

/** A second protocol, for tests alone: it shows that the exchange serves any. */
public final class Frames implements Protocol<FrameMessage, Frame> {

    @Override
    public Upstream<FrameMessage, Frame> createUpstream(EventLoopContext shard, int mostConnections) {
        return new FrameUpstream(shard, mostConnections);
    }

    @Override
    public Downstream createDownstream(
            EventLoopContext shard, RequestDispatcher<FrameMessage, Frame> exchange, int mostConnections) {
        return new FrameFront(shard, exchange, mostConnections);
    }

    @Override
    public void warmUp(EventLoopContext shard, InetAddress at, Path scratch, Runnable done) {
        done.run();
    }

    @Override
    public int overflowConnections() {
        return 0;
    }
}
