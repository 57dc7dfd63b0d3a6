package io.chivehollow.coordination.gateway;

import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.metrics.GatewayMetrics;
import io.chivehollow.protocol.openai.ErrorBody;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Refuses HTTP requests that are malformed, too large or too slow, and counts the open ones.
 *
 * <p>Placed directly after the HTTP codec in a connection's pipeline; used on its event loop only. Invariants: a
 * refusal is written only when no other response is open on the connection, otherwise the connection is closed; after a
 * refusal no further input is processed as a request.
 */
final class RequestGuard extends ChannelDuplexHandler {

    /**
     * Time for which input of a refused client is still read and discarded. Closing at once could cause a TCP reset, by
     * which the client would lose the refusal.
     */
    private static final int REFUSAL_LINGER_MS = 2_000;

    private final GatewayCore core;
    private final int maxBodyBytes;
    private final long readTimeoutNanos;
    private final long receiveTimeoutNanos;
    private int openResponses;
    private boolean isReceiving;
    private boolean isRefused;
    private boolean isResponseStarted;
    private long bodyBytes;
    private long receivingSinceNanos;
    private long lastReadNanos;
    private @Nullable ScheduledFuture<?> timer;
    private @Nullable ChannelHandlerContext context;

    RequestGuard(GatewayCore core) {
        this.core = core;
        this.maxBodyBytes = core.gatewaySettings().maxBodyBytes();
        this.readTimeoutNanos =
                TimeUnit.MILLISECONDS.toNanos(core.gatewaySettings().readTimeoutMs());
        this.receiveTimeoutNanos =
                TimeUnit.MILLISECONDS.toNanos(core.gatewaySettings().requestTimeoutMs());
    }

    /** Returns a handler to be placed before the codec, where it also receives the bytes of an incomplete header. */
    ChannelInboundHandlerAdapter byteListener() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                onBytesReceived();
                ctx.fireChannelRead(bytes);
            }
        };
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    private void onBytesReceived() {
        ChannelHandlerContext ctx = context;
        lastReadNanos = core.clock().nanoTime();
        if (isReceiving || isRefused || ctx == null) {
            return;
        }
        isReceiving = true;
        receivingSinceNanos = lastReadNanos;
        scheduleCheck(ctx, readTimeoutNanos);
    }

    private void scheduleCheck(ChannelHandlerContext ctx, long delayNanos) {
        stopTimer();
        timer = ctx.executor().schedule(() -> checkProgress(ctx), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void checkProgress(ChannelHandlerContext ctx) {
        if (!isReceiving || isRefused) {
            return;
        }
        long now = core.clock().nanoTime();
        long leftNanos =
                Math.min(lastReadNanos + readTimeoutNanos - now, receivingSinceNanos + receiveTimeoutNanos - now);
        // While earlier responses are open, the server itself may have stopped reading.
        boolean isWaitingForServer = openResponses > 1;
        if (leftNanos > 0 || isWaitingForServer) {
            scheduleCheck(ctx, isWaitingForServer ? readTimeoutNanos : leftNanos);
            return;
        }
        refuse(ctx, ErrorCode.REQUEST_TIMEOUT, "The request was not received completely before the timeout");
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (isRefused) {
            ReferenceCountUtil.release(message);
            return;
        }
        RequestFault fault = faultOf(message);
        if (fault != null) {
            ReferenceCountUtil.release(message);
            refuse(ctx, fault.code(), fault.message());
            return;
        }
        if (message instanceof HttpRequest) {
            openResponses++;
            core.inFlight().increment();
        }
        if (message instanceof LastHttpContent) {
            isReceiving = false;
            stopTimer();
        }
        ctx.fireChannelRead(message);
    }

    private @Nullable RequestFault faultOf(Object message) {
        if (message instanceof HttpRequest request) {
            bodyBytes = 0;
            if (request.decoderResult().isFailure()) {
                return faultOf(request.decoderResult().cause());
            }
            if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
                return bodyTooLarge();
            }
        }
        if (message instanceof HttpContent content) {
            bodyBytes += content.content().readableBytes();
            if (bodyBytes > maxBodyBytes) {
                return bodyTooLarge();
            }
            if (content.decoderResult().isFailure()) {
                return faultOf(content.decoderResult().cause());
            }
        }
        return null;
    }

    private RequestFault bodyTooLarge() {
        return new RequestFault(ErrorCode.BODY_TOO_LARGE, "The body must have at most " + maxBodyBytes + " bytes");
    }

    private RequestFault faultOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return new RequestFault(
                    ErrorCode.HEADER_TOO_LARGE,
                    "The header must have at most " + core.gatewaySettings().maxHeaderBytes() + " bytes");
        }
        return new RequestFault(ErrorCode.INVALID_REQUEST, "The request is not valid HTTP");
    }

    private void refuse(ChannelHandlerContext ctx, ErrorCode code, String message) {
        isRefused = true;
        isReceiving = false;
        stopTimer();
        core.metrics().countFailed(GatewayMetrics.NO_TEAM, code, true);
        // A request whose body is incomplete has no response yet but is already counted in openResponses.
        if (isResponseStarted || openResponses > 1) {
            ctx.close();
            return;
        }
        ErrorBody error = new ErrorBody(code, message, true, core.newRequestId().value());
        byte[] body = error.toBytes();
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(code.httpStatus(), code.wireName()),
                Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONNECTION, "close")
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        ctx.writeAndFlush(response).addListener(written -> linger(ctx));
    }

    /** Ends the response and discards further input until the client closes or {@link #REFUSAL_LINGER_MS} is over. */
    private void linger(ChannelHandlerContext ctx) {
        if (ctx.channel() instanceof SocketChannel socket) {
            socket.shutdownOutput();
        }
        ctx.channel().config().setAutoRead(true);
        ctx.read();
        ctx.executor().schedule(() -> ctx.close(), REFUSAL_LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (isRefused) {
            ReferenceCountUtil.release(message);
            promise.setFailure(new IllegalStateException("the request was refused"));
            return;
        }
        boolean isInterim = message instanceof HttpResponse response
                && response.status().codeClass() == io.netty.handler.codec.http.HttpStatusClass.INFORMATIONAL;
        if (message instanceof HttpResponse && !isInterim) {
            isResponseStarted = true;
        }
        if (message instanceof LastHttpContent && !isInterim) {
            isResponseStarted = false;
            ctx.write(message, promise.unvoid().addListener(written -> onResponseEnd()));
            return;
        }
        ctx.write(message, promise);
    }

    private void onResponseEnd() {
        if (openResponses > 0) {
            openResponses--;
            core.inFlight().decrement(1);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopTimer();
        int lost = openResponses;
        openResponses = 0;
        if (lost > 0) {
            core.inFlight().decrement(lost);
        }
        ctx.fireChannelInactive();
    }

    private record RequestFault(ErrorCode code, String message) {}
}
