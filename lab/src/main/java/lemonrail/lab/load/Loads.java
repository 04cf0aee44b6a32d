package lemonrail.lab.load;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import lemonrail.lab.model.Arrivals;
import org.apache.commons.rng.simple.RandomSource;

/** Plays one load from its first request to its last answer, on a loop of its own. */
public final class Loads implements AutoCloseable {

    /** Is told, on the thread that waits for a load, where what counts begins and ends. */
    public interface Watcher {
        /** The warm-up is over. */
        void begun() throws IOException;

        /** The load ends in {@link #ENDING_MS}, and so many requests that count have been sent. */
        void ending(long sent) throws IOException;
    }

    /** A watcher hears of a load's end so long before it, when all connections are still open. */
    public static final int ENDING_MS = 50;

    private final EventLoopGroup group;

    /** Loads on a loop of their own. */
    public Loads() {
        this(new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("load", true), NioIoHandler.newFactory()));
    }

    /** Loads on the first loop of this group, which ends with them. */
    public Loads(EventLoopGroup group) {
        this.group = group;
    }

    /** Requests of one form; each has a fresh id, and a fresh key where it is a keyed one. */
    public static IntFunction<FullHttpRequest> requests(
            HttpMethod method, String host, String path, Map<String, String> headers, boolean keyed, long seed) {
        return number -> {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.EMPTY_BUFFER);
            request.headers()
                    .set(HttpHeaderNames.HOST, host)
                    .set("X-Request-Id", Long.toHexString(seed) + "-" + number)
                    .set(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (keyed) {
                request.headers().set("Idempotency-Key", Long.toHexString(seed) + "-" + number);
            }
            headers.forEach(request.headers()::set);
            return request;
        };
    }

    /** Plays a load; an interrupt ends it early, and stays with the thread. */
    public OpenLoop.Result play(
            InetSocketAddress address, OpenLoop.Plan plan, long seed, IntFunction<FullHttpRequest> requests) {
        try {
            return play(address, plan, seed, requests, null);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The same, watched; an interrupted load's watcher may hear of neither beginning nor end. */
    public OpenLoop.Result play(
            InetSocketAddress address,
            OpenLoop.Plan plan,
            long seed,
            IntFunction<FullHttpRequest> requests,
            Watcher watcher)
            throws IOException {
        EventLoop loop = (EventLoop) group.next();
        OpenLoop load = new OpenLoop(
                loop,
                address,
                plan,
                new Arrivals(plan.rate() / plan.batch(), plan.spacing(), RandomSource.XO_SHI_RO_256_PP.create(seed)),
                requests);
        CountDownLatch over = new CountDownLatch(1);
        load.start(over::countDown);
        try {
            if (watcher != null) {
                over.await((long) plan.warmUpMs(), TimeUnit.MILLISECONDS);
                watcher.begun();
                over.await((long) (plan.lengthMs() - plan.warmUpMs()) - ENDING_MS, TimeUnit.MILLISECONDS);
                watcher.ending(loop.submit(load::sent).syncUninterruptibly().getNow());
            }
            over.await();
        } catch (InterruptedException e) {
            loop.execute(load::stop);
            Thread.currentThread().interrupt();
        }
        return loop.submit(load::result).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
