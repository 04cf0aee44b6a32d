package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A connection to an endpoint of the warm-up: responds to each request in the way that its query names. Requests
 * arrive in one read, as they are small.
 */
final class WarmUpEndpoint extends SimpleChannelInboundHandler<ByteBuf> {

    private final Set<String> attempted;
    private final Consumer<WarmUpRequest> onReceived;

    /**
     * Creates a handler of one connection.
     *
     * @param attempted the numbers of the requests that have been received by any endpoint
     * @param onReceived notified of each request after the response
     */
    WarmUpEndpoint(Set<String> attempted, Consumer<WarmUpRequest> onReceived) {
        this.attempted = attempted;
        this.onReceived = onReceived;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        int numberStart = text.indexOf(WarmUpRequest.PATH) + WarmUpRequest.PATH.length();
        int nameStart = text.indexOf(WarmUpRequest.NAME_SEPARATOR, numberStart) + 1;
        if (numberStart < WarmUpRequest.PATH.length() || nameStart == 0) {
            ctx.close();
            return;
        }
        WarmUpRequest request = WarmUpRequest.valueOf(text.substring(nameStart, text.indexOf(' ', nameStart)));
        boolean firstAttempt = attempted.add(text.substring(numberStart, nameStart));
        request.respond(ctx.channel(), firstAttempt);
        onReceived.accept(request);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
