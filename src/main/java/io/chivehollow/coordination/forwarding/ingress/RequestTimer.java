package io.chivehollow.coordination.forwarding.ingress;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Measures how long a caller takes to send a request and how long it leaves a connection unused.
 *
 * <p>Stands before the HTTP decoder, which reports a header only when it is complete. Used on the connection's event
 * loop.
 */
final class RequestTimer extends ChannelInboundHandlerAdapter {

    private final CallerLimits limits;
    private @Nullable ScheduledFuture<?> timer;
    private long firstByteNanos;
    private Phase phase = Phase.IDLE;

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
        if (phase == Phase.IDLE) {
            phase = Phase.HEADER;
            firstByteNanos = System.nanoTime();
            start(context, limits.headerTimeoutMs());
        } else if (phase == Phase.BODY) {
            start(context, limits.idleTimeoutMs());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancel();
        context.fireChannelInactive();
    }

    /** Returns the time at which the first byte of the present request was read. */
    long firstByteNanos() {
        return firstByteNanos;
    }

    void onHeader(ChannelHandlerContext context) {
        phase = Phase.BODY;
        start(context, limits.idleTimeoutMs());
    }

    void onRequest() {
        phase = Phase.ANSWER;
        cancel();
    }

    /** Records that the answer has been sent; with more bytes of a request read already, its time starts now. */
    void onAnswered(ChannelHandlerContext context, boolean hasMore) {
        if (hasMore) {
            phase = Phase.HEADER;
            firstByteNanos = System.nanoTime();
            start(context, limits.headerTimeoutMs());
        } else {
            phase = Phase.IDLE;
            start(context, limits.idleTimeoutMs());
        }
    }

    private void start(ChannelHandlerContext context, int timeMs) {
        cancel();
        timer = context.executor().schedule(() -> onTime(context), timeMs, TimeUnit.MILLISECONDS);
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void onTime(ChannelHandlerContext context) {
        context.fireUserEventTriggered(phase == Phase.IDLE ? Timeout.IDLE : Timeout.REQUEST);
    }

    private enum Phase {
        IDLE,
        HEADER,
        BODY,
        ANSWER
    }

    /** What took too long. */
    enum Timeout {
        /** No request came. */
        IDLE,
        /** A request did not come to its end. */
        REQUEST
    }
}
