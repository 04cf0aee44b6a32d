package lemonrail.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemonrail.net.Sockets;
import lemonrail.streaming.BodyPipe;
import lemonrail.streaming.BufferBudget;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a body written to a channel whose writability changes while a chunk is written. */
class PipeWriterTest {

    private static final int BUDGET_BYTES = 1 << 20;

    private final List<String> notifications = new ArrayList<>();
    private PipeWriter writer;

    private EmbeddedChannel connection(ChannelHandler encoder) {
        EmbeddedChannel channel = new EmbeddedChannel(encoder, new ChannelInboundHandlerAdapter() {
            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                if (writer != null) {
                    writer.onProgress();
                }
            }
        });
        channel.config().setWriteBufferWaterMark(Sockets.WRITE_BUFFER_WATER_MARKS);
        return channel;
    }

    private PipeWriter.Listener listener() {
        return new PipeWriter.Listener() {
            @Override
            public void onBodyWritten(ChannelFuture lastPart) {
                notifications.add("written");
            }

            @Override
            public void onBodyFailed() {
                notifications.add("broken");
            }
        };
    }

    private static HttpMessage chunked(HttpMessage head) {
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return head;
    }

    private static String bodyWrittenTo(EmbeddedChannel channel) {
        StringBuilder output = new StringBuilder();
        for (ByteBuf next = channel.readOutbound(); next != null; next = channel.readOutbound()) {
            output.append(next.toString(StandardCharsets.ISO_8859_1));
            next.release();
        }
        return output.substring(output.indexOf("\r\n\r\n") + "\r\n\r\n".length());
    }

    /** Checks the framing of the chunks and returns the number of body bytes in them. */
    private static int bytesInChunks(String chunks, boolean complete) {
        int position = 0;
        int bytes = 0;
        int size = -1;
        while (position < chunks.length()) {
            assertTrue(size != 0, "data follows the last chunk");
            int sizeEnd = chunks.indexOf("\r\n", position);
            size = Integer.parseInt(chunks.substring(position, sizeEnd), 16);
            position = sizeEnd + 2 + size;
            assertEquals(
                    "\r\n",
                    chunks.substring(position, position + 2),
                    "the chunk does not end after its announced size");
            position += 2;
            bytes += size;
        }
        assertEquals(complete, size == 0, "only a complete body must end with the last chunk");
        return bytes;
    }

    /** Guards against a nested write of the next or last chunk inside the chunk whose write fills the channel. */
    @ParameterizedTest
    @CsvSource({
        "32768,true",
        "32768,false",
        "32700,true",
        "32700,false",
        "16384,true",
        "49152,true",
        "49152,false",
        "100000,true",
        "100000,false",
        "1,true",
        "1,false"
    })
    void bodyEndsBetweenChunks(int bytes, boolean complete) {
        for (boolean response : new boolean[] {true, false}) {
            notifications.clear();
            writer = null;
            EmbeddedChannel channel = connection(response ? new HttpResponseEncoder() : new HttpRequestEncoder());
            channel.writeOutbound(chunked(
                    response
                            ? new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
                            : new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api")));
            BodyPipe pipe = new BodyPipe(new BufferBudget(BUDGET_BYTES), () -> 0, on -> {});
            pipe.write(Unpooled.wrappedBuffer(new byte[bytes]));
            if (complete) {
                pipe.complete();
            } else {
                pipe.fail();
            }
            writer = new PipeWriter(channel, pipe, listener());
            pipe.setConsumer(writer);
            assertEquals(List.of(complete ? "written" : "broken"), notifications);
            int writtenBytes = bytesInChunks(bodyWrittenTo(channel), complete);
            assertTrue(complete ? writtenBytes == bytes : writtenBytes <= bytes, writtenBytes + " bytes of " + bytes);
            channel.finishAndReleaseAll();
        }
    }
}
