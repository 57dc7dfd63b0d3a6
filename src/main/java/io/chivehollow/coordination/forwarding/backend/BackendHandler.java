package io.chivehollow.coordination.forwarding.backend;

import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.backend.BackendListener.Failure;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Passes the responses on one connection to the call that waits for them.
 *
 * <p>Invariants: a response that states the id of another request fails the call. Data that no call waits for closes
 * the connection, so that it is never taken for a later response. A response whose head or framing exceeds its limit
 * fails its call, also if the codec never completes a message. Used on the event loop of the connection.
 */
final class BackendHandler extends ChannelInboundHandlerAdapter {

    private static final int CONTINUE = 100;
    private static final int FIRST_FINAL = 200;

    /** Limits the head of a response, with the interim responses and empty lines before it, in bytes. */
    private static final int MAX_HEAD_BYTES = 65_536;

    /** Limits what a response has beside its body in bytes: head, chunk sizes and extensions, trailer fields. */
    private static final int MAX_FRAMING_BYTES = 262_144;

    /** Framing bytes that are allowed for each byte of the body; a chunk of one byte has six. */
    private static final int FRAMING_PER_BODY_BYTE = 6;

    private final Dialect dialect;
    private final ResponseDecoder decoder;
    private final UnsuccessfulRequests unsuccessful = new UnsuccessfulRequests();
    private @Nullable BackendCall call;
    private @Nullable BackendCall completed;
    private long receivedBytes;
    private long bodyBytes;
    private boolean hasHead;
    private boolean isInterim;
    private boolean isEndStated;
    private boolean isKeepAlive;
    private boolean isInputEnded;
    private boolean isEndChecked;
    private @Nullable Throwable error;

    BackendHandler(Dialect dialect, ResponseDecoder decoder) {
        this.dialect = dialect;
        this.decoder = decoder;
    }

    void start(BackendCall started, HttpMethod method) {
        call = started;
        decoder.start(method);
        hasHead = false;
        isInterim = false;
        receivedBytes = 0;
        bodyBytes = 0;
    }

    /** Returns whether the response to the call could not be taken for an earlier one on this connection. */
    boolean mayCarry(BackendCall next) {
        return !unsuccessful.mayContain(next.requestId);
    }

    /** Returns whether a call waits for data. */
    boolean isWaiting() {
        return call != null;
    }

    /** Counts bytes that are decoded next. */
    void count(int newBytes) {
        receivedBytes += newBytes;
    }

    /** Fails the call if the bytes received for it exceed the limits of head and framing. */
    void checkLimits() {
        BackendCall current = call;
        if (current == null) {
            return;
        }
        long framingBytes = receivedBytes - bodyBytes;
        if (!hasHead && framingBytes > MAX_HEAD_BYTES) {
            call = null;
            current.fail(Failure.BROKEN_ANSWER, "no response head within " + MAX_HEAD_BYTES + " bytes");
        } else if (framingBytes > MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * bodyBytes) {
            call = null;
            current.fail(Failure.BROKEN_ANSWER, "the framing of the response has " + framingBytes + " bytes");
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        BackendCall current = call;
        if (current == null || current.isEnded()) {
            ReferenceCountUtil.release(message);
            isKeepAlive = false;
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
            if (ResponseFraming.isContradictory(head)) {
                call = null;
                current.fail(Failure.BROKEN_ANSWER, "not valid HTTP: both a length and chunks");
                return;
            }
            int status = head.status().code();
            isInterim = status >= CONTINUE && status < FIRST_FINAL;
            if (isInterim) {
                current.readInterim(head);
            } else {
                hasHead = true;
                String statedId = dialect.requestId(head.headers());
                if (!current.mayBeAnsweredBy(statedId)) {
                    ReferenceCountUtil.release(message);
                    call = null;
                    current.fail(Failure.BROKEN_ANSWER, "the response belongs to request " + statedId);
                    return;
                }
                isEndStated = ResponseFraming.isStated(head);
                if (isEndStated) {
                    current.endObservation();
                }
                if (!current.isOwn) {
                    unsuccessful.add(current.requestId, status);
                }
                isKeepAlive = !unsuccessful.isFull()
                        && HttpUtil.isKeepAlive(head)
                        && isEndStated
                        && current.mayReuseAfter(statedId);
                current.listener.onHead(head);
            }
        }
        if (message instanceof HttpContent content) {
            onContent(context, current, content);
        }
    }

    private void onContent(ChannelHandlerContext context, BackendCall current, HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (isInterim || current.isEnded() || !content.content().isReadable()) {
            content.release();
        } else {
            bodyBytes += content.content().readableBytes();
            if (!current.listener.onData(content.content())) {
                call = null;
                current.fail(Failure.BROKEN_ANSWER, "the body exceeds the limit of its receiver or repeats events");
                return;
            }
        }
        if (isLast && !isInterim) {
            call = null;
            // The codec ends a response before its connection ends only if the response states its end or has no body.
            isEndStated |= context.channel().isActive() && !isInputEnded;
            completed = current;
        }
    }

    /** Ends a call once all that was read with its response is decoded, so that bytes after it close the connection. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (completed != null && decoder.hasUndecodedBytes()) {
            // They belong to no request, and the next response would begin with them.
            isKeepAlive = false;
        }
        complete();
        context.fireChannelReadComplete();
    }

    private void complete() {
        BackendCall ended = completed;
        completed = null;
        if (ended == null) {
            return;
        }
        boolean isWritten = ended.isRequestWritten();
        ResponseEnd.Verdict verdict = ResponseEnd.of(isEndStated, error != null, isWritten, ended.listener);
        switch (verdict) {
            case COMPLETE -> ended.complete(isEndStated && isKeepAlive && isWritten && !isInputEnded);
            case DEPENDS_ON_READ -> {
                isEndChecked = true;
                ended.completeIfRead();
            }
            case DEPENDS_ON_RUN -> {
                isEndChecked = true;
                ended.completeIfRunIsAlive();
            }
            default -> ended.fail(
                    Failure.BROKEN_ANSWER,
                    error == null
                            ? "the connection ended before the request was written"
                            : "connection failed: " + error);
        }
    }

    /** Called when the server has ended its direction, before the decoder ends a response because of that. */
    void onInputEnd() {
        isInputEnded = true;
    }

    /** Closes the connection, unless its other direction is still needed to check the end of the response. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !isEndChecked) {
            context.close();
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        complete();
        BackendCall current = call;
        call = null;
        if (current != null) {
            current.fail(
                    hasHead ? Failure.BROKEN_ANSWER : Failure.NO_ANSWER,
                    error == null ? "connection closed" : "connection failed: " + error);
        }
    }

    /** Records why the transport closes the connection; it reports the failure of a write to the writer only. */
    void onWriteFailure(Throwable cause) {
        error = cause;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The connection is closed next; channelInactive reports the error to the call.
        error = cause;
        context.close();
    }
}
