package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The handler of one connection to an endpoint of the warm-up. It responds to each request according to the kind in the
 * request's query. Requests are small, so each is assumed to arrive in one read.
 */
final class WarmUpEndpoint extends SimpleChannelInboundHandler<ByteBuf> {

    private final Set<String> attemptedRequests;
    private final Consumer<WarmUpRequest> onReceived;

    /**
     * Creates a handler for one connection.
     *
     * @param attemptedRequests the numbers of the requests that any endpoint has received, to which this handler adds
     * @param onReceived is called with the kind of each request after the response
     */
    WarmUpEndpoint(Set<String> attemptedRequests, Consumer<WarmUpRequest> onReceived) {
        this.attemptedRequests = attemptedRequests;
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
        boolean firstAttempt = attemptedRequests.add(text.substring(numberStart, nameStart));
        request.respond(ctx.channel(), firstAttempt);
        onReceived.accept(request);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
