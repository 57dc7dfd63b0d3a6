package io.chivehollow.coordination.forwarding.ingress;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.forwarding.flow.CallerSink;
import io.chivehollow.coordination.forwarding.flow.ForwardFlow;
import io.chivehollow.coordination.forwarding.flow.ForwardRequest;
import io.chivehollow.coordination.forwarding.flow.ForwardServices;
import io.chivehollow.coordination.forwarding.flow.Refusal;
import io.chivehollow.protocol.openai.ErrorBody;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Reads the requests of one caller's connection and writes the answers.
 *
 * <p>Invariant: one request at a time is served; what a caller sends before the answer waits, up to a bound. Used on
 * the event loop of the forwarding role.
 */
final class IngressConnection extends ChannelInboundHandlerAdapter implements CallerSink {

    /** Parts of later requests that may wait; then reading stops, and a lost caller is seen only at the next write. */
    private static final int MAX_WAITING = 256;

    private static final Logger LOG = Logger.getLogger(IngressConnection.class);

    private final Ingress ingress;
    private final ForwardServices services;
    private final CallerLimits limits;
    private final Deque<HttpObject> waiting = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable HttpRequest head;
    private @Nullable ByteBuf body;
    private @Nullable ForwardFlow flow;
    private String requestId = "";
    private boolean isBusy;
    private boolean isKeepAlive;
    private boolean isBroken;
    private boolean canSendChunks;

    IngressConnection(Ingress ingress, ForwardServices services, CallerLimits limits) {
        this.ingress = ingress;
        this.services = services;
        this.limits = limits;
    }

    boolean isBusy() {
        return isBusy || head != null;
    }

    void closeIfIdle() {
        if (!isBusy() && context != null) {
            context.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext read, Object message) {
        if (isBroken || !(message instanceof HttpObject object)) {
            ReferenceCountUtil.release(message);
        } else if (isBusy) {
            waiting.add(object);
            if (waiting.size() > MAX_WAITING) {
                read.channel().config().setAutoRead(false);
            }
        } else {
            take(read, object);
        }
    }

    private void take(ChannelHandlerContext read, HttpObject object) {
        if (object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(object);
            refuseUnreadable(object.decoderResult().cause());
            return;
        }
        if (object instanceof HttpRequest request) {
            onHead(read, request);
        }
        if (object instanceof HttpContent content) {
            onBody(read, content);
        }
    }

    private void refuseUnreadable(Throwable cause) {
        boolean isTooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        reject(isTooLong ? ErrorCode.HEADER_TOO_LARGE : ErrorCode.INVALID_REQUEST, "The request cannot be read");
    }

    private void onHead(ChannelHandlerContext read, HttpRequest request) {
        read.pipeline().get(RequestTimer.class).onHeader(read);
        head = request;
        requestId = "";
        body = Unpooled.buffer(0);
        isKeepAlive = HttpUtil.isKeepAlive(request);
        canSendChunks = request.protocolVersion().isKeepAliveDefault();
        List<String> hosts = request.headers().getAll(HttpHeaderNames.HOST);
        if (hosts.size() != 1 || !request.uri().startsWith("/")) {
            reject(ErrorCode.INVALID_REQUEST, "The request needs one Host field and a path");
        } else if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            reject(ErrorCode.BODY_TOO_LARGE, "The body is larger than " + limits.maxBodyBytes() + " bytes");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            read.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void onBody(ChannelHandlerContext read, HttpContent content) {
        ByteBuf collected = body;
        HttpRequest request = head;
        if (isBroken || collected == null || request == null) {
            content.release();
            return;
        }
        if (collected.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
            content.release();
            reject(ErrorCode.BODY_TOO_LARGE, "The body is larger than " + limits.maxBodyBytes() + " bytes");
            return;
        }
        collected.writeBytes(content.content());
        content.release();
        if (content instanceof LastHttpContent) {
            RequestTimer timer = read.pipeline().get(RequestTimer.class);
            timer.onRequest();
            head = null;
            body = null;
            byte[] bytes = ByteBufUtil.getBytes(collected);
            collected.release();
            serve(request, bytes, timer.firstByteNanos());
        }
    }

    private void serve(HttpRequest request, byte[] bytes, long firstByteNanos) {
        isBusy = true;
        String uri = request.uri();
        int query = uri.indexOf('?');
        HttpHeaders headers = request.headers();
        String host = headers.get(HttpHeaderNames.HOST, "");
        ForwardRequest forwarded = new ForwardRequest(
                request.method(),
                uri,
                query < 0 ? uri : uri.substring(0, query),
                host,
                ConnectionFields.without(headers),
                bytes,
                services.dialect().readRequest(headers),
                firstByteNanos);
        String stated = forwarded.fields().requestId();
        requestId = stated == null ? "" : stated;
        ForwardFlow started = ForwardFlow.start(services, forwarded, this, () -> flow = null);
        if (isBusy) {
            flow = started;
        }
    }

    // Answers.

    @Override
    public void head(int status, HttpHeaders headers) {
        HttpResponse response = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), ConnectionFields.without(headers));
        if (!HttpUtil.isContentLengthSet(response)) {
            if (canSendChunks) {
                HttpUtil.setTransferEncodingChunked(response, true);
            } else {
                isKeepAlive = false;
            }
        }
        setConnection(response);
        write(response, false);
    }

    @Override
    public void data(ByteBuf data) {
        write(new DefaultHttpContent(data), true);
    }

    @Override
    public void end() {
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void abort() {
        isBroken = true;
        isBusy = false;
        close();
    }

    @Override
    public void refuse(Refusal refusal) {
        byte[] text = new ErrorBody(refusal.code(), refusal.message(), refusal.isNotRun(), requestId).toBytes();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(refusal.code().httpStatus()),
                Unpooled.wrappedBuffer(text));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, text.length);
        if (refusal.retryAfterMs() != Refusal.NO_RETRY_TIME) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, services.dialect().retryAfter(refusal.retryAfterMs()));
        }
        setConnection(response);
        finish(response);
    }

    /** Refuses a request that has not been read to its end, so that the connection cannot be used any more. */
    private void reject(ErrorCode code, String message) {
        isKeepAlive = false;
        isBroken = true;
        if (body != null) {
            body.release();
            body = null;
        }
        head = null;
        refuse(Refusal.of(code, message));
    }

    private void setConnection(HttpResponse response) {
        isKeepAlive &= !ingress.isDraining();
        HttpUtil.setKeepAlive(response, isKeepAlive);
    }

    private void write(Object message, boolean isFlushed) {
        ChannelHandlerContext open = context;
        if (open == null) {
            ReferenceCountUtil.release(message);
        } else if (isFlushed) {
            open.writeAndFlush(message);
        } else {
            open.write(message);
        }
    }

    private void finish(Object last) {
        ChannelHandlerContext open = context;
        if (open == null) {
            ReferenceCountUtil.release(last);
            return;
        }
        // An answer that began before the shutdown has promised a connection that is not there any more.
        if (isKeepAlive && !ingress.isClosing()) {
            open.writeAndFlush(last);
            isBusy = false;
            open.pipeline().get(RequestTimer.class).onAnswered(open, !waiting.isEmpty());
            // Not recursive: an answer may be written while a request is taken.
            open.executor().execute(this::takeWaiting);
        } else {
            isBroken = true;
            isBusy = false;
            open.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void takeWaiting() {
        ChannelHandlerContext open = context;
        while (open != null && !isBusy && !isBroken && !waiting.isEmpty()) {
            take(open, waiting.removeFirst());
        }
        if (open != null && waiting.isEmpty()) {
            open.channel().config().setAutoRead(true);
        }
    }

    private void close() {
        if (context != null) {
            context.close();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext triggered, Object event) {
        if (event == RequestTimer.Timeout.IDLE) {
            closeIfIdle();
        } else if (event == RequestTimer.Timeout.REQUEST) {
            reject(ErrorCode.REQUEST_TIMEOUT, "The request was not sent in time");
        } else {
            triggered.fireUserEventTriggered(event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        ingress.onClosed(this);
        isBroken = true;
        isBusy = false;
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        if (body != null) {
            body.release();
            body = null;
        }
        ForwardFlow open = flow;
        flow = null;
        if (open != null) {
            open.cancel();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
        LOG.debugf("Connection of a caller failed: %s", cause);
        caught.close();
    }
}
