package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import lemonrail.streaming.BufferBudget;
import lemonrail.time.Clock;
import lemonrail.upgrade.AcceptedSocket;

/**
 * The first handler of a client connection, before the decoder. It limits the time to receive a complete request and
 * the time between requests, buffers input while the maximum number of requests is in flight, and discards input once
 * no further request is read. Confined to the connection's event loop.
 */
final class ClientTimeoutHandler extends ChannelInboundHandlerAdapter {

    /** User events fired when no more requests can be read from the client. */
    enum InputEvent {
        /** Part of a request has been received, but the rest has not arrived in time. */
        REQUEST_TIMED_OUT,
        /** The input received after the requests in flight exceeds {@link #MAX_BUFFERED_BYTES}. */
        TOO_MUCH_INPUT
    }

    /** The time between requests after which a connection is closed. */
    private static final int MAX_IDLE_MS = 5000;
    /** The maximum size of the input that is buffered while the maximum number of requests is in flight. */
    private static final int MAX_BUFFERED_BYTES = 16 * 1024;
    /**
     * The time by which a timeout is extended, once, if bytes have arrived that have not been read yet; one more turn
     * of the event loop reads them.
     */
    private static final int UNREAD_INPUT_GRACE_MS = 1;

    private enum RequestState {
        /** The connection is open, and no byte has been read. */
        CONNECTED,
        /** Part of a request has been read. */
        RECEIVING,
        /** A response is pending, and no byte of another request has been read. */
        RESPONDING,
        /** All responses have been written, and no byte of another request has been read. */
        IDLE
    }

    private enum InputState {
        /** Input is passed on as it arrives. */
        FORWARDED,
        /** Input is buffered until a response has been written. */
        BUFFERED,
        /** Input is discarded, because the connection is ending. */
        DISCARDED
    }

    private final AcceptedSocket channel;
    private final Clock clock;
    private final BufferBudget budget;
    private final ConnectionTimer timer;
    private final LingeringClose lingeringClose;
    private final RequestReadTimeout requestReadTimeout = new RequestReadTimeout();
    private RequestState requestState = RequestState.CONNECTED;
    private InputState inputState = InputState.FORWARDED;
    /** The buffered input, or null. */
    private ByteBuf bufferedInput;
    /** The earliest time at which the first byte of the buffered input can have arrived. */
    private double bufferedSinceMs;
    /** The value of {@link #bufferedSinceMs} while buffered input is passed on; infinite at all other times. */
    private double inputArrivedAtMs = Double.POSITIVE_INFINITY;
    /** Whether the current timeout has already been extended. */
    private boolean graceUsed;

    private double lastReadMs;

    ClientTimeoutHandler(AcceptedSocket channel, Clock clock, BufferBudget budget) {
        this.channel = channel;
        this.budget = budget;
        this.clock = clock;
        timer = new ConnectionTimer(channel);
        lingeringClose = new LingeringClose(channel, clock, timer);
        lastReadMs = clock.now();
    }

    // ---- timeouts ----

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        startRequestTimeout(ctx);
        ctx.fireChannelActive();
    }

    private void startRequestTimeout(ChannelHandlerContext ctx) {
        graceUsed = false;
        requestReadTimeout.start(clock.now());
        timer.start(RequestReadTimeout.MAX_HEAD_MS, () -> checkRequestTimeout(ctx));
    }

    private void checkRequestTimeout(ChannelHandlerContext ctx) {
        double remainingMs = requestReadTimeout.remainingMs(clock.now());
        if (requestReadTimeout.isPaused()) {
            timer.start(RequestReadTimeout.MIN_BODY_MS, () -> checkRequestTimeout(ctx));
        } else if (remainingMs > 0) {
            timer.start((int) Math.ceil(remainingMs), () -> checkRequestTimeout(ctx));
        } else if (tryUseGrace()) {
            timer.start(UNREAD_INPUT_GRACE_MS, () -> checkRequestTimeout(ctx));
        } else if (requestState == RequestState.RECEIVING && !isDiscarding()) {
            ctx.fireUserEventTriggered(InputEvent.REQUEST_TIMED_OUT);
        } else {
            channel.close();
        }
    }

    private void closeIdle() {
        if (tryUseGrace()) {
            timer.start(UNREAD_INPUT_GRACE_MS, this::closeIdle);
        } else {
            channel.close();
        }
    }

    /**
     * Extends the current timeout if there is unread input and the timeout has not been extended before. Returns
     * whether it is extended.
     */
    private boolean tryUseGrace() {
        boolean granted = !graceUsed && channel.hasUnreadBytes();
        graceUsed = true;
        return granted;
    }

    // ---- input ----

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf input = (ByteBuf) message;
        lastReadMs = clock.now();
        switch (inputState) {
            case DISCARDED -> discard(input);
            case BUFFERED -> buffer(ctx, input);
            default -> forward(ctx, input);
        }
    }

    private void discard(ByteBuf input) {
        int bytes = input.readableBytes();
        input.release();
        lingeringClose.onDiscarded(bytes);
    }

    private void buffer(ChannelHandlerContext ctx, ByteBuf input) {
        if (bufferedInput == null) {
            bufferedInput = Unpooled.buffer(input.readableBytes(), Integer.MAX_VALUE);
            bufferedSinceMs = clock.now() - clock.maxQueueDelayMs();
        }
        budget.acquire(input.readableBytes());
        bufferedInput.writeBytes(input);
        input.release();
        if (bufferedInput.readableBytes() > MAX_BUFFERED_BYTES) {
            discardInput();
            ctx.fireUserEventTriggered(InputEvent.TOO_MUCH_INPUT);
        }
    }

    private void forward(ChannelHandlerContext ctx, ByteBuf input) {
        boolean wasIdle = requestState == RequestState.IDLE;
        requestState = RequestState.RECEIVING;
        if (wasIdle) {
            startRequestTimeout(ctx);
        }
        requestReadTimeout.onBytesRead(input.readableBytes(), lastReadMs);
        ctx.fireChannelRead(input);
    }

    /**
     * Starts to buffer input, or stops and forwards the buffered input. Reading continues while input is buffered, so
     * that the disconnect of a client is detected.
     */
    void setBuffering(boolean buffering) {
        if (isDiscarding()) {
            return;
        }
        inputState = buffering ? InputState.BUFFERED : InputState.FORWARDED;
        if (!buffering && bufferedInput != null) {
            ByteBuf input = bufferedInput;
            bufferedInput = null;
            budget.release(input.readableBytes());
            ChannelHandlerContext ctx = channel.pipeline().context(this);
            inputArrivedAtMs = bufferedSinceMs;
            forward(ctx, input);
            inputArrivedAtMs = Double.POSITIVE_INFINITY;
            ctx.fireChannelReadComplete();
        }
    }

    /** Discards all input from now on. */
    void discardInput() {
        inputState = InputState.DISCARDED;
        releaseBufferedInput();
    }

    boolean isDiscarding() {
        return inputState == InputState.DISCARDED;
    }

    private void releaseBufferedInput() {
        if (bufferedInput != null) {
            budget.release(bufferedInput.readableBytes());
            bufferedInput.release();
            bufferedInput = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timer.cancel();
        releaseBufferedInput();
        ctx.fireChannelInactive();
    }

    // ---- progress of requests and responses ----

    /** Notes that a head has been read and its body is expected. */
    void onHeadRead() {
        requestReadTimeout.onHeadRead(clock.now());
    }

    /** Notes that a large body is being read. Its timeout applies even while earlier responses are pending. */
    void onUploadStarted() {
        checkBodyTimeout(channel.pipeline().context(this));
    }

    private void checkBodyTimeout(ChannelHandlerContext ctx) {
        requestState = RequestState.RECEIVING;
        requestReadTimeout.ensureMinBodyTime(clock.now());
        checkRequestTimeout(ctx);
    }

    /** Notes that the sidecar has paused or resumed reading a body. */
    void onBodyReadingChanged(boolean reading) {
        if (reading) {
            requestReadTimeout.resume(clock.now());
        } else {
            requestReadTimeout.pause(clock.now());
        }
    }

    /** Notes that a complete request has been read: no timeout applies until its response has been written. */
    void onRequestRead() {
        requestState = RequestState.RESPONDING;
        requestReadTimeout.onRequestRead();
        timer.cancel();
    }

    /**
     * Notes that all responses have been passed to the channel but not all are written. The connection closes if the
     * client stops accepting them.
     */
    void onResponsesPending() {
        timer.closeWhenStalled();
    }

    /** Notes that all responses have been written. */
    void onResponsesWritten() {
        if (isDiscarding() || !channel.isActive()) {
            return;
        }
        ChannelHandlerContext ctx = channel.pipeline().context(this);
        if (requestReadTimeout.isInBody()) {
            checkBodyTimeout(ctx);
        } else if (requestState == RequestState.RECEIVING) {
            startRequestTimeout(ctx);
        } else {
            requestState = RequestState.IDLE;
            graceUsed = false;
            timer.start(MAX_IDLE_MS, this::closeIdle);
        }
    }

    /** Allows the rest of a body that is no longer needed to arrive before the connection closes. */
    void allowRestOfBody() {
        lingeringClose.allowRestOfBody();
    }

    /** Closes the connection after the given response. */
    void closeAfter(ChannelFuture lastResponse) {
        discardInput();
        lingeringClose.closeAfter(lastResponse);
    }

    // ---- state, read by the connection ----

    /** Returns whether reading is slowed down because too much input has been discarded. */
    boolean isThrottled() {
        return lingeringClose.isThrottled();
    }

    /** Returns whether the last response has been written. */
    boolean isLastResponseWritten() {
        return lingeringClose.isLastResponseWritten();
    }

    /** Returns the time of the last read, or of the opening of the connection, in milliseconds. */
    double lastReadMs() {
        return lastReadMs;
    }

    /**
     * Returns the earliest time at which the input that is being passed on can have arrived if it has been buffered, or
     * infinity.
     */
    double inputArrivedAtMs() {
        return inputArrivedAtMs;
    }

    /** Returns whether part of a request has been read. */
    boolean isReceiving() {
        return requestState == RequestState.RECEIVING;
    }
}
