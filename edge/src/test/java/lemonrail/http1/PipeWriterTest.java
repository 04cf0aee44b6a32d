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

/** A body written to a channel whose writability changes in the middle of a chunk. */
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

    private static String written(EmbeddedChannel channel) {
        StringBuilder all = new StringBuilder();
        for (ByteBuf next = channel.readOutbound(); next != null; next = channel.readOutbound()) {
            all.append(next.toString(StandardCharsets.ISO_8859_1));
            next.release();
        }
        return all.substring(all.indexOf("\r\n\r\n") + "\r\n\r\n".length());
    }

    /** Reads whole chunks to their end; returns the bytes of the body. */
    private static int bytesInChunks(String chunks, boolean whole) {
        int at = 0;
        int bytes = 0;
        int size = -1;
        while (at < chunks.length()) {
            assertTrue(size != 0, "more comes behind the last chunk");
            int line = chunks.indexOf("\r\n", at);
            size = Integer.parseInt(chunks.substring(at, line), 16);
            at = line + 2 + size;
            assertEquals("\r\n", chunks.substring(at, at + 2), "a chunk ends where its size says");
            at += 2;
            bytes += size;
        }
        assertEquals(whole, size == 0, "the last chunk tells that it is whole");
        return bytes;
    }

    /** The last chunk, or the next one, must not be written within the chunk that fills the channel. */
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
    void bodyEndsBetweenChunks(int bytes, boolean whole) {
        for (boolean response : new boolean[] {true, false}) {
            notifications.clear();
            writer = null;
            EmbeddedChannel channel = connection(response ? new HttpResponseEncoder() : new HttpRequestEncoder());
            channel.writeOutbound(chunked(
                    response
                            ? new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
                            : new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api")));
            BodyPipe pipe = new BodyPipe(new BufferBudget(BUDGET_BYTES), on -> {});
            pipe.write(Unpooled.wrappedBuffer(new byte[bytes]));
            if (whole) {
                pipe.complete();
            } else {
                pipe.fail();
            }
            writer = new PipeWriter(channel, pipe, listener());
            pipe.setConsumer(writer);
            assertEquals(List.of(whole ? "written" : "broken"), notifications);
            int written = bytesInChunks(written(channel), whole);
            assertTrue(whole ? written == bytes : written <= bytes, written + " bytes of " + bytes);
            channel.finishAndReleaseAll();
        }
    }
}
