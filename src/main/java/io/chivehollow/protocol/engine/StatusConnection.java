package io.chivehollow.protocol.engine;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.StatusCodes;
import io.chivehollow.protocol.engine.CollectingHandler.CollectedResponse;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/**
 * Queries an engine's status over one connection that stays open between the requests.
 *
 * <p>A separate connection for each request took a third of the processor time of an idle sidecar.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>At most one request is open; calls of {@link #poll} during this time get its response.
 *   <li>If the engine closes a reused connection before it begins to respond, the request is retried once on a new
 *       connection, because the engine may close an idle connection at any time.
 * </ul>
 *
 * <p>{@link #poll} and {@link #shutDown} are thread-safe; everything else runs on one event loop.
 */
final class StatusConnection {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final int timeoutMs;
    private final Consumer<HttpHeaders> onHeaders;
    private final Runnable onConnectionLost;
    private final List<CompletableFuture<CollectedResponse>> pendingPolls = new ArrayList<>();
    private @Nullable Channel channel;
    private @Nullable CollectingHandler collector;
    private @Nullable Future<?> timer;
    private boolean isReused;
    private boolean hasResponseBegun;

    /**
     * Creates the connection without opening it.
     *
     * @param timeoutMs timeout of one status request including its retry, in milliseconds
     * @param onHeaders called with the headers of each response
     * @param onConnectionLost called when a connection that should stay open has been closed between two requests
     */
    StatusConnection(
            InetSocketAddress address,
            EventLoop loop,
            int timeoutMs,
            Consumer<HttpHeaders> onHeaders,
            Runnable onConnectionLost) {
        this.address = address;
        this.loop = loop;
        this.timeoutMs = timeoutMs;
        this.onHeaders = onHeaders;
        this.onConnectionLost = onConnectionLost;
    }

    /** Returns the next status response; fails with an {@link EngineException}. */
    CompletableFuture<CollectedResponse> poll() {
        CompletableFuture<CollectedResponse> response = new CompletableFuture<>();
        loop.execute(() -> {
            pendingPolls.add(response);
            if (pendingPolls.size() == 1) {
                sendRequest();
            }
        });
        return response;
    }

    private void sendRequest() {
        Channel open = channel;
        timer = loop.schedule(this::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
        isReused = open != null && open.isActive();
        if (isReused) {
            send(open);
        } else {
            connect();
        }
    }

    private void connect() {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socketChannel) {
                        socketChannel.pipeline().addLast(new HttpClientCodec()).addLast(new ResponseReader());
                    }
                });
        var connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (channel != connecting.channel()) {
                return;
            }
            if (done.isSuccess()) {
                send(connecting.channel());
            } else {
                fail(EngineException.notSent(
                        ErrorCode.BACKEND_FAILED, "Cannot connect to the backend server at " + address, done.cause()));
            }
        });
    }

    private void send(Channel open) {
        hasResponseBegun = false;
        CollectingHandler handler = new CollectingHandler(onHeaders);
        collector = handler;
        FullHttpRequest http = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/metrics");
        http.headers().set(HttpHeaderNames.HOST, "backend");
        open.writeAndFlush(http);
    }

    private void onTimeout() {
        fail(EngineException.mayHaveRun(
                ErrorCode.DEADLINE_EXCEEDED, "Backend server did not respond within the timeout", null));
    }

    private void fail(EngineException failure) {
        close();
        takePendingPolls().forEach(poll -> poll.completeExceptionally(failure));
    }

    /** Ends the open request and returns the polls that it was to complete. */
    private List<CompletableFuture<CollectedResponse>> takePendingPolls() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        collector = null;
        List<CompletableFuture<CollectedResponse>> taken = List.copyOf(pendingPolls);
        pendingPolls.clear();
        return taken;
    }

    private void close() {
        Channel open = channel;
        channel = null;
        if (open != null) {
            open.close();
        }
    }

    /** Closes the connection. */
    void shutDown() {
        loop.execute(this::close);
    }

    /** Handles the responses on one connection. */
    private final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {

        private boolean isKeepAlive = true;
        private boolean isEndStated;
        private boolean isReset;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (isReset) {
                // The decoder ends a response of no stated length at the close of its connection.
                return;
            }
            CollectingHandler handler = collector;
            boolean isMalformed = message.decoderResult().isFailure()
                    || message instanceof HttpResponse head
                            && !StatusCodes.isValid(head.status().code());
            if (handler == null || ctx.channel() != channel || isMalformed) {
                exceptionCaught(ctx, new IllegalStateException("Response is malformed or unexpected"));
                return;
            }
            hasResponseBegun = true;
            if (message instanceof HttpResponse response) {
                isKeepAlive = HttpUtil.isKeepAlive(response);
                isEndStated = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
                handler.onHead(response.status().code(), response.headers());
            }
            if (message instanceof HttpContent content && content.content().isReadable()) {
                handler.onBody(ByteBufUtil.getBytes(content.content()));
            }
            boolean isEnd = isEndStated || ctx.channel().isActive();
            // Otherwise only the end of the connection ends the response, which may have been interrupted.
            if (message instanceof LastHttpContent && isEnd) {
                handler.onEnd();
                CollectedResponse response = handler.result().join();
                if (!isKeepAlive) {
                    close();
                }
                takePendingPolls().forEach(poll -> poll.complete(response));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() != channel) {
                return;
            }
            channel = null;
            if (pendingPolls.isEmpty()) {
                onConnectionLost.run();
            } else if (isReused && !hasResponseBegun) {
                isReused = false;
                connect();
            } else {
                fail(EngineException.mayHaveRun(
                        ErrorCode.BACKEND_FAILED,
                        "Backend server closed the connection before the response was complete",
                        null));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() != channel) {
                ctx.close();
                return;
            }
            isReset = cause instanceof IOException;
            if (isReset) {
                // A reset is handled in channelInactive, like an orderly close.
                ctx.close();
                return;
            }
            fail(
                    cause instanceof EngineException engineFailure
                            ? engineFailure
                            : EngineException.mayHaveRun(
                                    ErrorCode.BACKEND_FAILED, "Connection to the backend server failed", cause));
        }
    }
}
