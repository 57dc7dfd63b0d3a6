package io.chivehollow.protocol.engine;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
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

    private final ResponseHandler handler;
    private boolean isEnded;

    private EngineHttpExchange(ResponseHandler handler) {
        this.handler = handler;
    }

    /**
     * Sends a request; closing the returned channel cancels it.
     *
     * <p>The request is released when it has been written or when the connect has failed.
     *
     * @param readTimeoutMs longest time without a byte from the backend server, in milliseconds
     */
    static Channel send(
            InetSocketAddress address,
            EventLoopGroup eventLoops,
            FullHttpRequest request,
            int readTimeoutMs,
            ResponseHandler handler) {
        EngineHttpExchange exchange = new EngineHttpExchange(handler);
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new ReadTimeoutHandler(readTimeoutMs, TimeUnit.MILLISECONDS))
                                .addLast(new HttpClientCodec())
                                .addLast(exchange);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                connecting.channel().writeAndFlush(request);
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
            handler.onHead(response.status().code(), response.headers());
        }
        if (message instanceof HttpContent content && content.content().isReadable()) {
            handler.onBody(ByteBufUtil.getBytes(content.content()));
        }
        if (message instanceof LastHttpContent) {
            isEnded = true;
            handler.onEnd();
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
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
}
