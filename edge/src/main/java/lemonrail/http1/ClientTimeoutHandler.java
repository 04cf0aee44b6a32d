package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import lemonrail.time.Clock;
import lemonrail.upgrade.AcceptedSocket;

/**
 * The first handler of a client's connection, ahead of the decoder: bounds the time in which a request must be
 * read whole and the time between requests, holds input back while enough requests are in flight, and discards
 * it once the connection ends. Confined to the connection's event loop.
 */
final class ClientTimeoutHandler extends ChannelInboundHandlerAdapter {

    /** User events fired when nothing more is to be read from the client. */
    enum InputEvent {
        /** A request has begun but is not whole in time. */
        REQUEST_TIMED_OUT,
        /** More has arrived behind the requests in flight than is held back. */
        TOO_MUCH_INPUT
    }

    /** A connection is closed after this time between requests. */
    private static final int MAX_IDLE_MS = 5000;
    /** The most that is held back while as many requests as may be are in flight. */
    private static final int MAX_HELD_BYTES = 16 * 1024;
    /** By how much a timeout is put off, once, when bytes have arrived that are not read yet. */
    private static final int UNREAD_INPUT_GRACE_MS = 1;

    private enum RequestState {
        /** Connected, and no byte has arrived. */
        CONNECTED,
        /** Bytes of a request have arrived, and it is not whole. */
        RECEIVING,
        /** A request is being responded to, and no read since has brought bytes of another. */
        RESPONDING,
        /** All responses are written, and no byte of another request has arrived. */
        IDLE
    }

    private enum InputState {
        /** Input is passed on as it arrives. */
        FORWARDED,
        /** Input is held back until a response has been written. */
        HELD,
        /** Input is discarded, as the connection ends. */
        DISCARDED
    }

    private final AcceptedSocket channel;
    private final Clock clock;
    private final ConnectionTimer timer;
    private final LingeringClose lingeringClose;
    private final RequestDeadline requestDeadline = new RequestDeadline();
    private RequestState requestState = RequestState.CONNECTED;
    private InputState inputState = InputState.FORWARDED;
    /** What is held back, or null. */
    private ByteBuf heldInput;
    /** Whether the current timeout has been put off already. */
    private boolean graceUsed;

    private double lastReadMs;

    ClientTimeoutHandler(AcceptedSocket channel, Clock clock) {
        this.channel = channel;
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
        requestDeadline.start(clock.now());
        timer.start(RequestDeadline.MAX_HEAD_MS, () -> checkRequestTimeout(ctx));
    }

    private void checkRequestTimeout(ChannelHandlerContext ctx) {
        double remainingMs = requestDeadline.remainingMs(clock.now());
        if (requestDeadline.isPaused()) {
            timer.start(RequestDeadline.MIN_BODY_MS, () -> checkRequestTimeout(ctx));
        } else if (remainingMs > 0) {
            timer.start((int) Math.ceil(remainingMs), () -> checkRequestTimeout(ctx));
        } else if (useGrace()) {
            timer.start(UNREAD_INPUT_GRACE_MS, () -> checkRequestTimeout(ctx));
        } else if (requestState == RequestState.RECEIVING && !isDiscarding()) {
            ctx.fireUserEventTriggered(InputEvent.REQUEST_TIMED_OUT);
        } else {
            channel.close();
        }
    }

    private void closeIdle() {
        if (useGrace()) {
            timer.start(UNREAD_INPUT_GRACE_MS, this::closeIdle);
        } else {
            channel.close();
        }
    }

    /** Returns whether input is waiting to be read that has not put off this timeout before. */
    private boolean useGrace() {
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
            case HELD -> hold(ctx, input);
            default -> forward(ctx, input);
        }
    }

    private void discard(ByteBuf input) {
        int bytes = input.readableBytes();
        input.release();
        lingeringClose.onDiscarded(bytes);
    }

    private void hold(ChannelHandlerContext ctx, ByteBuf input) {
        if (heldInput == null) {
            heldInput = Unpooled.buffer(input.readableBytes(), Integer.MAX_VALUE);
        }
        heldInput.writeBytes(input);
        input.release();
        if (heldInput.readableBytes() > MAX_HELD_BYTES) {
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
        requestDeadline.onBytesRead(input.readableBytes());
        ctx.fireChannelRead(input);
    }

    /**
     * Holds input back, or forwards it again with what was held. Reading goes on meanwhile, so that a client
     * that disconnects is noticed.
     */
    void setHolding(boolean holding) {
        if (isDiscarding()) {
            return;
        }
        inputState = holding ? InputState.HELD : InputState.FORWARDED;
        if (!holding && heldInput != null) {
            ByteBuf input = heldInput;
            heldInput = null;
            ChannelHandlerContext ctx = channel.pipeline().context(this);
            forward(ctx, input);
            ctx.fireChannelReadComplete();
        }
    }

    /** Discards all input from now on. */
    void discardInput() {
        inputState = InputState.DISCARDED;
        releaseHeldInput();
    }

    boolean isDiscarding() {
        return inputState == InputState.DISCARDED;
    }

    private void releaseHeldInput() {
        if (heldInput != null) {
            heldInput.release();
            heldInput = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timer.cancel();
        releaseHeldInput();
        ctx.fireChannelInactive();
    }

    // ---- progress of requests and responses ----

    /** Notes that a head is whole and its body is still to come. */
    void onHeadRead() {
        requestDeadline.onHeadRead(clock.now());
    }

    /** Notes that the sidecar stops or resumes reading a body. */
    void onBodyReading(boolean reading) {
        if (reading) {
            requestDeadline.resume(clock.now());
        } else {
            requestDeadline.pause(clock.now());
        }
    }

    /** Notes that a request is whole: no time limit until it is responded to. */
    void onRequestRead() {
        requestState = RequestState.RESPONDING;
        requestDeadline.onRequestRead();
        timer.cancel();
    }

    /** Notes that all responses are handed to the channel but not written: the client must take some now and then. */
    void onResponsesPending() {
        timer.closeWhenStalled();
    }

    /** Notes that all responses are written. */
    void onResponsesWritten() {
        if (isDiscarding() || !channel.isActive()) {
            return;
        }
        ChannelHandlerContext ctx = channel.pipeline().context(this);
        if (requestState != RequestState.RECEIVING) {
            requestState = RequestState.IDLE;
            graceUsed = false;
            timer.start(MAX_IDLE_MS, this::closeIdle);
        } else if (requestDeadline.isInBody()) {
            requestDeadline.allowBodyTime(clock.now());
            checkRequestTimeout(ctx);
        } else {
            startRequestTimeout(ctx);
        }
    }

    /** Allows for the rest of a body that its request no longer needs before the connection closes. */
    void allowRestOfBody() {
        lingeringClose.allowRestOfBody();
    }

    /** Closes the connection after this response. */
    void closeAfter(ChannelFuture lastResponse) {
        discardInput();
        lingeringClose.closeAfter(lastResponse);
    }

    // ---- state, for the connection ----

    /** Returns whether reading is slowed down because too much is discarded. */
    boolean isThrottled() {
        return lingeringClose.isThrottled();
    }

    /** Returns whether the last response is written. */
    boolean isLastResponseWritten() {
        return lingeringClose.isLastResponseWritten();
    }

    /** Returns when something was read last, or the connection opened, in milliseconds of the clock. */
    double lastReadMs() {
        return lastReadMs;
    }

    /** Returns whether a part of a request has been read. */
    boolean isReceiving() {
        return requestState == RequestState.RECEIVING;
    }
}
