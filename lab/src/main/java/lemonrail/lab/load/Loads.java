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

/** Runs open-loop loads, each from its first request to its last response, on an event loop of its own. */
public final class Loads implements AutoCloseable {

    /** Called at the bounds of the measured interval, on the thread that waits for the load. */
    public interface Watcher {
        /** The warm-up is over and the measured interval begins. */
        void measurementStarted() throws IOException;

        /** The load ends in {@link #END_NOTICE_MS}; {@code sent} is the number of requests sent since the warm-up. */
        void measurementEnding(long sent) throws IOException;
    }

    /** Time before the end of a load at which its watcher is called, so that all connections are still open. */
    public static final int END_NOTICE_MS = 50;

    private final EventLoopGroup group;

    /** Creates a runner with an event loop of its own. */
    public Loads() {
        this(new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("load", true), NioIoHandler.newFactory()));
    }

    /** Creates a runner on the first event loop of {@code group}; {@link #close} shuts the group down. */
    public Loads(EventLoopGroup group) {
        this.group = group;
    }

    /** Returns a factory of requests that differ only in their id and, if {@code keyed}, in their idempotency key. */
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

    /** Runs a load. An interrupt ends it early; the thread's interrupt status stays set. */
    public OpenLoop.Result play(
            InetSocketAddress address, OpenLoop.Plan plan, long seed, IntFunction<FullHttpRequest> requests) {
        try {
            return play(address, plan, seed, requests, null);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Runs a load and calls {@code watcher}, which may miss one or both calls if the load is interrupted. */
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
        CountDownLatch finished = new CountDownLatch(1);
        load.start(finished::countDown);
        try {
            if (watcher != null) {
                finished.await((long) plan.warmUpMs(), TimeUnit.MILLISECONDS);
                watcher.measurementStarted();
                finished.await((long) (plan.lengthMs() - plan.warmUpMs()) - END_NOTICE_MS, TimeUnit.MILLISECONDS);
                watcher.measurementEnding(
                        loop.submit(load::sent).syncUninterruptibly().getNow());
            }
            finished.await();
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
