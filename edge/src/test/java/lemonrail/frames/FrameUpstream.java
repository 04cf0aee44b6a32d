package lemonrail.frames;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.EndpointState;
import lemonrail.discovery.EndpointList;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Upstream;

/** A connection for each attempt, which is closed with it. */
final class FrameUpstream implements Upstream<FrameMessage, Frame> {

    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final EventLoopContext shard;
    private int most;
    private int open;

    FrameUpstream(EventLoopContext shard, int most) {
        this.shard = shard;
        this.most = most;
    }

    private final class Attempt extends SimpleChannelInboundHandler<Frame> implements Upstream.Attempt {
        private final FrameMessage message;
        private final double waitMs;
        private Ending<Frame> ending;
        private Channel channel;
        private boolean written;

        Attempt(FrameMessage message, double waitMs, Ending<Frame> ending) {
            this.message = message;
            this.waitMs = waitMs;
            this.ending = ending;
        }

        void open(InetSocketAddress address) {
            open++;
            ChannelFuture connecting = new Bootstrap()
                    .group(shard.loop())
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                            shard.settings().limits().connectTimeoutMs())
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel fresh) {
                            Frame.addTo(fresh.pipeline());
                            fresh.pipeline().addLast(Attempt.this);
                        }
                    })
                    .connect(address);
            channel = connecting.channel();
            channel.closeFuture().addListener(closed -> {
                open--;
                end(written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_ERROR, null);
            });
            connecting.addListener(up -> {
                if (!up.isSuccess()) {
                    end(AttemptOutcome.CONNECT_ERROR, null);
                } else if (ending != null && !ending.mayBegin()) {
                    channel.close();
                } else if (ending != null) {
                    Frame request = new Frame('Q', message.id() + "|" + (long) waitMs + "|" + message.text());
                    channel.writeAndFlush(request).addListener(done -> {
                        written = done.isSuccess();
                        if (written && ending != null) {
                            shard.metrics().dispatched();
                            ending.written();
                        }
                    });
                }
            });
        }

        @Override
        public boolean mayHaveRun() {
            return written;
        }

        @Override
        public boolean giveUp() {
            ending = null;
            channel.close();
            return written;
        }

        private void end(AttemptOutcome outcome, Frame answer) {
            Ending<Frame> told = ending;
            ending = null;
            if (told != null) {
                told.ended(outcome, answer);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Frame answer) {
            AttemptOutcome outcome = switch (answer.kind()) {
                case 'S' -> AttemptOutcome.OK;
                case 'N' -> AttemptOutcome.QUEUE_FULL;
                case 'B' -> AttemptOutcome.IGNORED;
                default -> AttemptOutcome.FAILED;
            };
            end(outcome, answer);
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void update(EndpointList list) {
        if (list.full()) {
            addresses.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().state() == EndpointState.GONE) {
                addresses.remove(entry.endpoint().id());
            } else {
                addresses.put(entry.endpoint().id(), entry.address());
            }
        }
    }

    @Override
    public Upstream.Attempt send(String server, FrameMessage message, double waitMs, Ending<Frame> ending) {
        Attempt attempt = new Attempt(message, waitMs, ending);
        InetSocketAddress address = addresses.get(server);
        if (address == null || open >= most) {
            attempt.end(AttemptOutcome.CONNECT_ERROR, null);
        } else {
            attempt.open(address);
        }
        return attempt;
    }

    @Override
    public void disconnect(String server) {
        // No connection is ever idle.
    }

    @Override
    public void bound(int connections) {
        most = connections;
    }

    @Override
    public int size() {
        return addresses.size();
    }

    @Override
    public void close() {
        addresses.clear();
    }
}
