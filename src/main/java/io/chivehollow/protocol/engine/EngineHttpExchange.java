package io.chivehollow.protocol.engine;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.RequestReadCheck;
import io.chivehollow.protocol.StatusCodes;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;

/**
 * One HTTP request on a connection of its own.
 *
 * <p>Each request has its own connection because a request is cancelled by closing its connection, and because a failed
 * connect then proves that the backend server has received nothing. Thread-safe. Exactly one of
 * {@link ResponseHandler#onEnd} and {@link ResponseHandler#onFailure} is called, once.
 */
final class EngineHttpExchange extends SimpleChannelInboundHandler<HttpObject> {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final InetSocketAddress address;
    private final RunCheck runCheck;
    private final ResponseHandler handler;
    private final RequestReadCheck readCheck = RequestReadCheck.create();
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private boolean isInterim;
    private boolean isClosedHere;
    private boolean isInputEnded;
    private boolean isEndChecked;
    private boolean isEnded;

    private EngineHttpExchange(InetSocketAddress address, RunCheck runCheck, ResponseHandler handler) {
        this.address = address;
        this.runCheck = runCheck;
        this.handler = handler;
    }

    /**
     * Sends a request; closing the returned channel cancels it.
     *
     * <p>The request is released when it has been written or when the connect has failed.
     *
     * @param runCheck tells whether the run that sent a response is alive
     * @param readTimeoutMs longest time without a byte from the backend server, in milliseconds
     */
    static Channel send(
            InetSocketAddress address,
            EventLoopGroup eventLoops,
            FullHttpRequest request,
            RunCheck runCheck,
            int readTimeoutMs,
            ResponseHandler handler) {
        EngineHttpExchange exchange = new EngineHttpExchange(address, runCheck, handler);
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.SO_SNDBUF, RequestReadCheck.SEND_BUFFER_BYTES)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(exchange.new InputEndRecorder())
                                .addLast(new ReadTimeoutHandler(readTimeoutMs, TimeUnit.MILLISECONDS))
                                .addLast(new HttpClientCodec())
                                .addLast(exchange.new CloseRecorder())
                                .addLast(exchange);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                int bodyBytes = request.content().readableBytes();
                ChannelFuture writing = connecting.channel().writeAndFlush(request);
                exchange.readCheck.onWrite(writing, bodyBytes);
                writing.addListener(written -> {
                    if (!written.isSuccess()) {
                        // The transport closes the connection and reports the failure to the writer only.
                        exchange.isClosedHere = true;
                    }
                });
                return;
            }
            request.release();
            exchange.fail(EngineException.notSent(
                    ErrorCode.BACKEND_FAILED, "Cannot connect to the backend server at " + address, done.cause()));
        });
        return connecting.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (isEnded) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(EngineException.mayHaveRun(
                    ErrorCode.BACKEND_FAILED,
                    "Response is not valid HTTP",
                    message.decoderResult().cause()));
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            if (!StatusCodes.isValid(response.status().code())) {
                fail(EngineException.mayHaveRun(
                        ErrorCode.BACKEND_FAILED,
                        "Response is not valid HTTP: the status is "
                                + response.status().code(),
                        null));
                ctx.close();
                return;
            }
            isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
        if (isInterim) {
            // The final response follows.
            return;
        }
        if (message instanceof HttpResponse response) {
            headers = response.headers();
            handler.onHead(response.status().code(), response.headers());
        }
        if (message instanceof HttpContent content && content.content().isReadable()) {
            handler.onBody(ByteBufUtil.getBytes(content.content()));
        }
        if (message instanceof LastHttpContent) {
            onLast(ctx);
        }
    }

    private void onLast(ChannelHandlerContext ctx) {
        boolean isEndStated = ctx.channel().isActive() && !isInputEnded;
        if (isEndStated) {
            end();
            ctx.close();
        } else if (!isClosedHere && !ctx.channel().eventLoop().isShuttingDown()) {
            isEndChecked = true;
            readCheck.check(ctx.channel(), hasRead -> onReadChecked(ctx, hasRead));
        }
    }

    /** The check of the run takes place last, because the connections of a run that crashes end one by one. */
    private void onReadChecked(ChannelHandlerContext ctx, boolean hasRead) {
        ctx.close();
        if (isEnded) {
            return;
        }
        if (hasRead && handler.hasEnd()) {
            end();
        } else if (hasRead) {
            EventLoop loop = ctx.channel().eventLoop();
            runCheck.isAlive(headers, isAlive -> loop.execute(() -> endIf(isAlive)));
        } else {
            fail(EngineException.mayHaveRun(
                    ErrorCode.BACKEND_FAILED,
                    "The connection ended, and the request is not shown to have been read",
                    null));
        }
    }

    /** Closes the connection, unless its other direction is still needed to check the end of the response. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !isEndChecked) {
            ctx.close();
        }
        ctx.fireUserEventTriggered(event);
    }

    /**
     * Ends a response whose end is marked only by the end of its connection, if the run that sent it is still alive.
     * The connections of a run that crashes end in the same way, and another run may start at its address.
     */
    private void endIf(boolean isAlive) {
        if (isAlive) {
            end();
        } else {
            fail(EngineException.mayHaveRun(
                    ErrorCode.BACKEND_FAILED,
                    "The connection ended, and the run of the backend server is not shown to be alive",
                    null));
        }
    }

    private void end() {
        isEnded = true;
        handler.onEnd();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (isEndChecked) {
            return;
        }
        fail(EngineException.mayHaveRun(
                ErrorCode.BACKEND_FAILED,
                "Backend server closed the connection before the response was complete",
                null));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof ReadTimeoutException) {
            fail(EngineException.mayHaveRun(
                    ErrorCode.DEADLINE_EXCEEDED, "Backend server sent no data within the read timeout", cause));
        } else if (cause instanceof EngineException engineFailure) {
            fail(engineFailure);
        } else {
            fail(EngineException.mayHaveRun(
                    ErrorCode.BACKEND_FAILED, "Connection to the backend server failed", cause));
        }
        ctx.close();
    }

    private void fail(EngineException failure) {
        if (!isEnded) {
            isEnded = true;
            handler.onFailure(failure);
        }
    }

    /** Tells whether the run of the backend server that sent a response is still alive. */
    @FunctionalInterface
    interface RunCheck {

        /**
         * Asks the backend server.
         *
         * @param headers headers of the response
         * @param receiver called with false also if it cannot be shown; on any thread
         */
        void isAlive(HttpHeaders headers, Consumer<Boolean> receiver);
    }

    /** Records the end of the input before the decoder ends a response of no stated length because of it. */
    private final class InputEndRecorder extends ChannelInboundHandlerAdapter {

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            isInputEnded |= event instanceof ChannelInputShutdownEvent;
            ctx.fireUserEventTriggered(event);
        }
    }

    /** Records that this process closes the connection, which ends a response of no stated length in the decoder. */
    private final class CloseRecorder extends ChannelOutboundHandlerAdapter {

        @Override
        public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
            isClosedHere = true;
            ctx.close(promise);
        }
    }
}
