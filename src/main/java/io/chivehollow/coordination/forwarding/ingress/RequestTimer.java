package io.chivehollow.coordination.forwarding.ingress;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Limits the time that a caller takes to send a request and the time for which a connection is idle.
 *
 * <p>Placed before the HTTP decoder, which reports a header only when it is complete. Used on the event loop of the
 * connection.
 */
final class RequestTimer extends ChannelInboundHandlerAdapter {

    private final CallerLimits limits;
    private @Nullable ScheduledFuture<?> timer;
    private long firstByteNanos;
    private State state = State.IDLE;

    RequestTimer(CallerLimits limits) {
        this.limits = limits;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        start(context, limits.idleTimeoutMs());
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (state == State.IDLE) {
            state = State.HEADER;
            firstByteNanos = System.nanoTime();
            start(context, limits.headerTimeoutMs());
        } else if (state == State.BODY) {
            start(context, limits.idleTimeoutMs());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancel();
        context.fireChannelInactive();
    }

    /** Returns the monotonic time in nanoseconds at which the first byte of the current request was read. */
    long firstByteNanos() {
        return firstByteNanos;
    }

    void onHeaderComplete(ChannelHandlerContext context) {
        state = State.BODY;
        start(context, limits.idleTimeoutMs());
    }

    void onRequestComplete() {
        state = State.RESPONSE;
        cancel();
    }

    /** Records that the response was sent; if bytes of the next request have already been read, its time starts now. */
    void onResponseSent(ChannelHandlerContext context, boolean hasPendingData) {
        if (hasPendingData) {
            state = State.HEADER;
            firstByteNanos = System.nanoTime();
            start(context, limits.headerTimeoutMs());
        } else {
            state = State.IDLE;
            start(context, limits.idleTimeoutMs());
        }
    }

    private void start(ChannelHandlerContext context, int timeMs) {
        cancel();
        timer = context.executor().schedule(() -> onTimeout(context), timeMs, TimeUnit.MILLISECONDS);
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void onTimeout(ChannelHandlerContext context) {
        context.fireUserEventTriggered(state == State.IDLE ? Timeout.IDLE : Timeout.REQUEST);
    }

    private enum State {
        IDLE,
        HEADER,
        BODY,
        RESPONSE
    }

    /** The cause of a timeout. */
    enum Timeout {
        /** No request arrived. */
        IDLE,
        /** A request was not received completely. */
        REQUEST
    }
}
