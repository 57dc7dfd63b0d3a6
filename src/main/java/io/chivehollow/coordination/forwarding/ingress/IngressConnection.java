package io.chivehollow.coordination.forwarding.ingress;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.forwarding.adapter.CallerFields;
import io.chivehollow.coordination.forwarding.flow.CallerSink;
import io.chivehollow.coordination.forwarding.flow.ForwardFlow;
import io.chivehollow.coordination.forwarding.flow.ForwardRequest;
import io.chivehollow.coordination.forwarding.flow.ForwardServices;
import io.chivehollow.coordination.forwarding.flow.Refusal;
import io.chivehollow.coordination.forwarding.pressure.HeldRequest;
import io.chivehollow.coordination.forwarding.pressure.HeldRequest.Stage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Reads the requests on one connection of a caller and writes the responses.
 *
 * <p>Invariant: one request at a time is processed; what a caller sends before the response is queued up to a limit.
 * Beyond it reading stops, and a disconnect of the caller is detected only at the next write. Used on the event loop of
 * the forwarding role.
 */
final class IngressConnection extends ChannelInboundHandlerAdapter implements CallerSink {

    private static final int SO_LINGER_OFF = -1;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final Logger LOG = Logger.getLogger(IngressConnection.class);

    private final Ingress ingress;
    private final ForwardServices services;
    private final CallerLimits limits;
    private final PendingParts pendingParts = new PendingParts();
    private @Nullable ChannelHandlerContext context;
    private @Nullable HttpRequest head;
    private @Nullable ByteBuf body;
    private @Nullable ForwardFlow flow;
    private @Nullable HeldForCaller held;
    private @Nullable Refusal earlyRefusal;
    private long servedBytes;
    private String requestId = "";
    private boolean isBusy;
    private boolean isKeepAlive;
    private boolean isUnusable;
    private boolean canSendChunks;

    IngressConnection(Ingress ingress, ForwardServices services, CallerLimits limits) {
        this.ingress = ingress;
        this.services = services;
        this.limits = limits;
    }

    boolean isBusy() {
        return isBusy || head != null;
    }

    /** Ends the open request because the process ends; a request that is not complete is dropped. */
    void failOpenRequest() {
        ForwardFlow open = flow;
        if (open != null) {
            open.shutDown();
        } else if (head != null) {
            close();
        }
    }

    void closeIfIdle() {
        if (!isBusy() && context != null) {
            context.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        held = new HeldForCaller(ingress.pressure().held(), added.channel(), services.nanoTime());
    }

    String requestId() {
        return requestId;
    }

    private HeldForCaller account() {
        if (held == null) {
            throw new IllegalStateException("The connection is not open yet");
        }
        return held;
    }

    /** Updates what the process holds for this connection. */
    void refreshHeld() {
        ForwardFlow open = flow;
        account()
                .refresh(
                        (body == null ? 0 : body.capacity())
                                + pendingParts.contentBytes()
                                + (open == null ? 0 : servedBytes),
                        open == null ? null : open.progress());
    }

    /** Returns the request that is let go if the process has to free what this connection holds. */
    HeldRequest heldRequest() {
        ForwardFlow open = flow;
        Stage stage = open != null ? open.progress().stage() : head == null ? Stage.DELIVERING : Stage.RECEIVING;
        return account().describe(stage, open == null ? null : open.progress());
    }

    /** Ends the request, or the connection if only its response is left; an incomplete response is cut off. */
    void letGo(String reason) {
        ForwardFlow open = flow;
        if (open == null && head != null) {
            requestId = statedId(services.dialect().readRequest(head.headers()));
            refuseIncomplete(EarlyRefusal.refusal(reason, ingress.pressure()));
        } else if (open != null && open.progress().stage() != Stage.RESPONDING) {
            open.letGo(reason);
        } else {
            // The system would hold on to what it has taken over for the caller.
            setResetAtClose(true);
            if (open != null) {
                open.letGo(reason);
            }
            isUnusable = true;
            close();
        }
        if (isUnusable) {
            pendingParts.release();
        }
        refreshHeld();
    }

    void resumeReading() {
        if (context != null) {
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext read, Object message) {
        if (isUnusable || !(message instanceof HttpObject object)) {
            ReferenceCountUtil.release(message);
        } else if (isBusy) {
            pendingParts.add(object);
            if (pendingParts.isFull()) {
                read.channel().config().setAutoRead(false);
            }
            refreshHeld();
        } else {
            process(read, object);
        }
    }

    private void process(ChannelHandlerContext read, HttpObject object) {
        if (object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(object);
            refuseIncomplete(RefusalResponse.refusalOf(object.decoderResult().cause()));
            return;
        }
        if (object instanceof HttpRequest request) {
            onHead(read, request);
        }
        if (object instanceof HttpContent content) {
            onBody(read, content);
        }
    }

    private void onHead(ChannelHandlerContext read, HttpRequest request) {
        read.pipeline().get(RequestTimer.class).onHeaderComplete(read);
        head = request;
        requestId = "";
        body = Unpooled.buffer(0);
        isKeepAlive = HttpUtil.isKeepAlive(request);
        canSendChunks = request.protocolVersion().isKeepAliveDefault();
        List<String> hosts = request.headers().getAll(HttpHeaderNames.HOST);
        if (hosts.size() != 1 || !request.uri().startsWith("/")) {
            refuseIncomplete(
                    ErrorCode.INVALID_REQUEST,
                    "The request must have exactly one Host field and a path that starts with /");
        } else if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            refuseIncomplete(
                    ErrorCode.BODY_TOO_LARGE, "The body must have at most " + limits.maxBodyBytes() + " bytes");
        } else {
            earlyRefusal = EarlyRefusal.of(request, services, ingress.pressure());
            if (earlyRefusal != null) {
                requestId = statedId(services.dialect().readRequest(request.headers()));
                if (!EarlyRefusal.maySkipBody(request)) {
                    refuseIncomplete(earlyRefusal);
                }
            } else if (HttpUtil.is100ContinueExpected(request)) {
                sendContinue(read);
            }
        }
    }

    private static String statedId(CallerFields fields) {
        String stated = fields.requestId();
        return stated == null ? "" : stated;
    }

    /** Sends the interim response past the codec, which would take it for the response to the request. */
    private static void sendContinue(ChannelHandlerContext read) {
        read.pipeline().context(RequestCodec.class).writeAndFlush(Unpooled.wrappedBuffer(CONTINUE));
    }

    private void onBody(ChannelHandlerContext read, HttpContent content) {
        ByteBuf collected = body;
        HttpRequest request = head;
        if (isUnusable || collected == null || request == null) {
            content.release();
            return;
        }
        if (collected.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
            content.release();
            refuseIncomplete(
                    ErrorCode.BODY_TOO_LARGE, "The body must have at most " + limits.maxBodyBytes() + " bytes");
            return;
        }
        Refusal refusal = earlyRefusal;
        if (refusal == null) {
            ingress.pressure().onLinkBytes(content.content().readableBytes());
            collected.writeBytes(content.content());
        }
        content.release();
        if (content instanceof LastHttpContent) {
            RequestTimer timer = read.pipeline().get(RequestTimer.class);
            timer.onRequestComplete();
            head = null;
            body = null;
            earlyRefusal = null;
            byte[] bytes = ByteBufUtil.getBytes(collected);
            collected.release();
            if (refusal == null) {
                serve(request, bytes, timer.firstByteNanos());
            } else {
                refuse(refusal);
            }
            onHeldChanged();
            return;
        }
        onHeldChanged();
        if (ingress.heldLimit().pausesReading(this)) {
            read.channel().config().setAutoRead(false);
        }
    }

    private void serve(HttpRequest request, byte[] bytes, long firstByteNanos) {
        isBusy = true;
        ForwardRequest forwarded = new ForwardRequest(
                request.method(),
                request.uri(),
                RequestPath.of(request.uri()),
                request.headers().get(HttpHeaderNames.HOST, ""),
                ConnectionFields.without(request.headers()),
                bytes,
                services.dialect().readRequest(request.headers()),
                canSendChunks,
                firstByteNanos);
        requestId = statedId(forwarded.fields());
        servedBytes = bytes.length;
        if (ingress.isClosing()) {
            // The process may end before the response, and other instances serve the request.
            ForwardFlow.refuseAtShutdown(services, forwarded, this);
            return;
        }
        ForwardFlow started = ForwardFlow.start(services, forwarded, this, this::onFlowEnded);
        if (isBusy) {
            flow = started;
        }
    }

    private void onFlowEnded() {
        if (flow != null) {
            account().onRequestEnd(flow.progress());
            flow = null;
        }
    }

    @Override
    public void onHeldChanged() {
        refreshHeld();
        ingress.heldLimit().onHeldChanged(this);
    }

    @Override
    public void head(int status, HttpHeaders headers) {
        HttpResponse response = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), ConnectionFields.without(headers));
        if (!HttpUtil.isContentLengthSet(response)) {
            if (canSendChunks) {
                HttpUtil.setTransferEncodingChunked(response, true);
            } else {
                isKeepAlive = false;
                setResetAtClose(true);
            }
        }
        setConnection(response);
        write(response, false);
    }

    @Override
    public void data(ByteBuf data) {
        int bytes = data.readableBytes();
        ingress.pressure().onLinkBytes(bytes);
        account().onWritten(bytes);
        write(new DefaultHttpContent(data), true);
    }

    @Override
    public boolean isWritable() {
        return context == null || context.channel().isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        refreshHeld();
        if (flow != null && changed.channel().isWritable()) {
            flow.onCallerWritable();
        }
        changed.fireChannelWritabilityChanged();
    }

    @Override
    public void end() {
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void abort() {
        isUnusable = true;
        isBusy = false;
        close();
    }

    @Override
    public void refuse(Refusal refusal) {
        FullHttpResponse response = RefusalResponse.of(refusal, requestId, services.dialect());
        setConnection(response);
        finish(response);
    }

    /**
     * Sets whether the connection ends with a reset, also if this process is killed.
     *
     * <p>An orderly end would complete a response that has neither a length nor chunks.
     */
    private void setResetAtClose(boolean isReset) {
        if (context != null) {
            context.channel().config().setOption(ChannelOption.SO_LINGER, isReset ? 0 : SO_LINGER_OFF);
        }
    }

    /** Refuses a request that was not received completely; the connection cannot be reused after that. */
    private void refuseIncomplete(ErrorCode code, String message) {
        refuseIncomplete(Refusal.of(code, message));
    }

    private void refuseIncomplete(Refusal refusal) {
        isKeepAlive = false;
        isUnusable = true;
        if (body != null) {
            body.release();
            body = null;
        }
        head = null;
        refuse(refusal);
    }

    private void setConnection(HttpResponse response) {
        isKeepAlive &= !ingress.isDraining() && !ingress.pressure().areDescriptorsShort();
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
        // A response that began before the shutdown has announced a reusable connection, which must be closed
        // nevertheless.
        if (isKeepAlive && !ingress.isClosing()) {
            open.writeAndFlush(last);
            isBusy = false;
            open.pipeline().get(RequestTimer.class).onResponseSent(open, !pendingParts.isEmpty());
            // Executed later to avoid recursion, because a response may be written while a request is processed.
            open.executor().execute(this::processPending);
        } else {
            isUnusable = true;
            isBusy = false;
            open.writeAndFlush(last).addListener(written -> {
                if (written.isSuccess()) {
                    setResetAtClose(false);
                }
                open.close();
            });
        }
    }

    private void processPending() {
        ChannelHandlerContext open = context;
        while (open != null && !isBusy && !isUnusable && !pendingParts.isEmpty()) {
            process(open, pendingParts.removeFirst());
        }
        if (open != null && pendingParts.isEmpty()) {
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
            refuseIncomplete(ErrorCode.REQUEST_TIMEOUT, "The request was not received completely before the timeout");
        } else {
            triggered.fireUserEventTriggered(event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        ingress.onClosed(this);
        isUnusable = true;
        isBusy = false;
        pendingParts.release();
        if (body != null) {
            body.release();
            body = null;
        }
        ForwardFlow open = flow;
        flow = null;
        if (open != null) {
            open.cancel();
        }
        account().close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
        LOG.debugf("Connection of a caller failed and is closed: %s", cause);
        caught.close();
    }
}
