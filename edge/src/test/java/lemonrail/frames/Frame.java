package lemonrail.frames;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A frame of the test protocol, encoded as a length, a letter and a text. Requests are {@code Q}; responses are
 * {@code S} served, {@code N} not executed, {@code E} error, {@code B} bad request, and to clients also {@code R}
 * rejected and {@code F} failed.
 */
record Frame(char kind, String text) {

    private static final int MAX_BYTES = 64 * 1024;
    private static final int LENGTH_BYTES = 4;

    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MAX_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new LengthFieldPrepender(LENGTH_BYTES),
                new Codec());
    }

    private static final class Codec extends MessageToMessageCodec<ByteBuf, Frame> {
        @Override
        protected void encode(ChannelHandlerContext ctx, Frame frame, List<Object> out) {
            ByteBuf bytes = ctx.alloc().buffer();
            bytes.writeByte(frame.kind());
            bytes.writeCharSequence(frame.text(), StandardCharsets.UTF_8);
            out.add(bytes);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) {
            char kind = (char) bytes.readByte();
            out.add(new Frame(kind, bytes.toString(StandardCharsets.UTF_8)));
        }
    }
}
