package lemonrail.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.exchange.EventLoopContext;
import lemonrail.logging.EventLog;
import lemonrail.streaming.BodyPipe;

/**
 * One connection to an endpoint: sends one attempt at a time and reports its outcome. Owned by the pool and confined to
 * the pool's event loop.
 */
final class UpstreamConnection implements ResponseReader.Listener {

    private enum State {
        /** The connection is being opened for its first attempt. */
        CONNECTING,
        /** An attempt is being written, or its response is being read. */
        IN_USE,
        /** The connection is open and ready for another attempt. */
        IDLE,
        /** The connection is closed or closing; no attempt is sent on it. */
        CLOSED
    }

    private final EndpointConnections endpoint;
    private final int generation;
    private final IdleConnections idleConnections;
    private final EventLoopContext context;
    private final EventLog log;
    private final ResponseReader reader;
    private EndpointSocket channel;
    private State state = State.CONNECTING;
    /** The attempt in flight, or null. */
    private UpstreamAttempt attempt;
    /** The writer of the rest of a large request, or null. */
    private PipeWriter requestWriter;
    /** The body of a streamed response, or null. */
    private BodyPipe responseBody;

    private double idleSinceMs;

    UpstreamConnection(
            EndpointConnections endpoint, IdleConnections idleConnections, EventLoopContext context, EventLog log) {
        this.endpoint = endpoint;
        this.idleConnections = idleConnections;
        this.context = context;
        this.log = log;
        reader = new ResponseReader(context.bufferBudget(), this);
        generation = endpoint.generation();
    }

    /** Connects, then sends the first attempt. {@code onClosed} runs when the channel has been closed. */
    void connect(UpstreamConnector connector, UpstreamAttempt first, Runnable onClosed) {
        attempt = first;
        first.assignTo(this);
        ChannelFuture connecting = connector.connect(endpoint.address(), this::addHandlers);
        channel = (EndpointSocket) connecting.channel();
        channel.closeFuture().addListener(closed -> {
            onClosed.run();
            onClosed();
        });
        connecting.addListener(connected -> onConnectFinished(first, connected.isSuccess()));
    }

    private void addHandlers(EndpointSocket opened) {
        opened.pipeline().addLast(new HttpRequestEncoder());
        reader.addTo(opened.pipeline());
        opened.pipeline().addLast(new ChannelEventHandler());
    }

    private void onConnectFinished(UpstreamAttempt first, boolean connected) {
        // While connecting, the attempt may have been cancelled, or the endpoint's process may have been replaced.
        if (connected && first.isAwaited() && isCurrent() && first.mayStart()) {
            send(first);
        } else {
            channel.close();
            onClosed();
        }
    }

    /** Returns whether the connection leads to the endpoint's current process according to the endpoint list. */
    private boolean isCurrent() {
        return generation == endpoint.generation();
    }

    /** Sends another attempt on this idle connection. */
    void startNext(UpstreamAttempt next) {
        leaveIdle();
        attempt = next;
        next.assignTo(this);
        send(next);
    }

    private void send(UpstreamAttempt currentAttempt) {
        state = State.IN_USE;
        RequestMessage request = currentAttempt.request();
        if (request.remainingBody() == null) {
            ChannelFuture written = channel.writeAndFlush(request.toFullRequest(currentAttempt.remainingMs()));
            holdUntilWritten(request, written);
            notifyWhenWritten(currentAttempt, written);
        } else {
            sendStreamed(currentAttempt, request);
        }
    }

    /** Counts the copy of a request in the write buffer of this connection. */
    private void holdUntilWritten(RequestMessage request, ChannelFuture written) {
        if (!written.isDone()) {
            int bytes = request.bufferedBytes();
            context.bufferBudget().acquire(bytes);
            written.addListener(done -> context.bufferBudget().release(bytes));
        }
    }

    private void sendStreamed(UpstreamAttempt currentAttempt, RequestMessage request) {
        channel.write(request.toHead(currentAttempt.remainingMs()));
        holdUntilWritten(
                request, channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(request.body()))));
        // An overloaded endpoint may reject a large request before the complete body has been sent.
        reader.expectResponse();
        requestWriter = new PipeWriter(channel, request.remainingBody(), new PipeWriter.Listener() {
            @Override
            public void onBodyWritten(ChannelFuture lastPart) {
                requestWriter = null;
                notifyWhenWritten(currentAttempt, lastPart);
            }

            @Override
            public void onBodyFailed() {
                close();
            }
        });
        request.remainingBody().setConsumer(requestWriter);
    }

    private void notifyWhenWritten(UpstreamAttempt currentAttempt, ChannelFuture lastPart) {
        currentAttempt.setRequestWritten(lastPart);
        lastPart.addListener(written -> onRequestWritten(currentAttempt, written));
    }

    private void onRequestWritten(UpstreamAttempt currentAttempt, Future<?> written) {
        if (!written.isSuccess()) {
            channel.close();
            return;
        }
        context.metrics().onDispatch();
        reader.expectResponse();
        currentAttempt.onRequestWritten();
    }

    /** Returns when the connection last became idle, in milliseconds of the event loop's clock. */
    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Returns whether the connection is open and nothing has arrived on it since it became idle. */
    boolean hasNoInput() {
        return channel.hasNoInput();
    }

    /** Closes the connection; an attempt in flight fails. */
    void close() {
        leaveIdle();
        state = State.CLOSED;
        channel.close();
    }

    private void leaveIdle() {
        if (state == State.IDLE) {
            endpoint.removeIdle(this);
            idleConnections.remove(this);
        }
    }

    /**
     * Called when the channel has been closed or could not connect. The outcome depends on whether the request was
     * written.
     */
    private void onClosed() {
        leaveIdle();
        state = State.CLOSED;
        UpstreamAttempt failed = attempt;
        attempt = null;
        stopRequestWriter();
        BodyPipe truncated = responseBody;
        responseBody = null;
        if (failed != null) {
            failed.finish(failed.mayHaveExecuted() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_ERROR, null);
        }
        if (truncated != null) {
            truncated.fail();
        }
    }

    private void stopRequestWriter() {
        if (requestWriter != null) {
            requestWriter.stop();
            requestWriter = null;
        }
    }

    @Override
    public void onResponse(UpstreamResponse response, boolean reusable) {
        UpstreamAttempt finished = release(reusable && response.keepAlive());
        if (finished == null) {
            return;
        }
        AttemptOutcome outcome = response.outcome();
        // A success that arrives before the complete request has been written cannot be the response to it.
        boolean isPremature = outcome == AttemptOutcome.OK && !finished.mayHaveExecuted();
        finished.finish(isPremature ? AttemptOutcome.RESET : outcome, response);
    }

    @Override
    public BodyPipe onStreamStarted(UpstreamResponse head) {
        responseBody = new BodyPipe(
                context.bufferBudget(),
                context.clock()::now,
                reading -> channel.config().setAutoRead(reading));
        BodyPipe started = responseBody;
        if (attempt != null && attempt.isAwaited() && attempt.mayHaveExecuted()) {
            attempt.onResponseStreamStarted(head, started);
        } else {
            started.close();
            close();
        }
        return started;
    }

    @Override
    public void onStreamCompleted(boolean reusable) {
        responseBody = null;
        UpstreamAttempt finished = release(reusable);
        if (finished != null) {
            finished.finish(AttemptOutcome.OK, null);
        }
    }

    @Override
    public void onMalformedResponse() {
        close();
    }

    /**
     * Ends the use of this connection by the current attempt, and returns the attempt, which is null if there is none.
     * The connection becomes idle if it can be reused, and closes otherwise. Called before the outcome is reported,
     * because the report may start another attempt that needs a connection.
     */
    private UpstreamAttempt release(boolean reusable) {
        UpstreamAttempt finished = attempt;
        attempt = null;
        stopRequestWriter();
        boolean requestWritten = finished == null || finished.mayHaveExecuted();
        if (reusable && channel.isActive() && isCurrent() && requestWritten) {
            becomeIdle();
        } else {
            channel.close();
        }
        return finished;
    }

    private void becomeIdle() {
        channel.config().setAutoRead(true);
        idleSinceMs = context.clock().now();
        state = State.IDLE;
        endpoint.addIdle(this);
        idleConnections.add(this);
    }

    /** Resumes writing when the channel becomes writable, and closes the connection at its end and on errors. */
    private final class ChannelEventHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (requestWriter != null) {
                requestWriter.onProgress();
            }
        }

        /** Closes the connection when the endpoint has closed it and all that it has sent has been read. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A network error is reported as the outcome of the attempt; any other exception is a bug in this program.
            if (!(cause instanceof IOException)) {
                log.error("unexpected exception on a connection to an endpoint", cause);
            }
            close();
        }
    }
}
