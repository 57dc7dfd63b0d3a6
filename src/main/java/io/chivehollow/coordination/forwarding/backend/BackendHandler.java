package io.chivehollow.coordination.forwarding.backend;

import io.chivehollow.coordination.forwarding.backend.BackendListener.Failure;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Passes the responses on one connection to the call that waits for them.
 *
 * <p>Data that no call waits for closes the connection, so that it is never taken for a later response. Used on the
 * event loop of the connection.
 */
final class BackendHandler extends ChannelInboundHandlerAdapter {

    private static final int CONTINUE = 100;
    private static final int FIRST_FINAL = 200;

    private @Nullable BackendCall call;
    private boolean hasHead;
    private boolean isInterim;
    private boolean isKeepAlive;
    private @Nullable Throwable error;

    void start(BackendCall started) {
        call = started;
        hasHead = false;
        isInterim = false;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        BackendCall current = call;
        if (current == null || current.isEnded()) {
            ReferenceCountUtil.release(message);
            context.close();
            return;
        }
        if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            call = null;
            current.fail(
                    Failure.BROKEN_ANSWER,
                    "not valid HTTP: " + object.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse head) {
            int status = head.status().code();
            isInterim = status >= CONTINUE && status < FIRST_FINAL;
            if (!isInterim) {
                hasHead = true;
                isKeepAlive = HttpUtil.isKeepAlive(head) && isFramed(head);
                current.listener.onHead(head);
            }
        }
        if (message instanceof HttpContent content) {
            onContent(current, content);
        }
    }

    private void onContent(BackendCall current, HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (isInterim || current.isEnded() || !content.content().isReadable()) {
            content.release();
        } else {
            current.listener.onData(content.content());
        }
        if (isLast && !isInterim) {
            call = null;
            if (error != null) {
                current.fail(Failure.BROKEN_ANSWER, "connection failed: " + error);
            } else {
                current.complete(isKeepAlive);
            }
        }
    }

    /** Returns whether the end of the response is marked by its framing and not by the end of the connection. */
    private static boolean isFramed(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        BackendCall current = call;
        call = null;
        if (current != null) {
            current.fail(
                    hasHead ? Failure.BROKEN_ANSWER : Failure.NO_ANSWER,
                    error == null ? "connection closed" : "connection failed: " + error);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The connection is closed next; channelInactive reports the error to the call.
        error = cause;
        context.close();
    }
}
