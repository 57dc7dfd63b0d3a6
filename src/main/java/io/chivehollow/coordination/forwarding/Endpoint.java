package io.chivehollow.coordination.forwarding;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.forwarding.adapter.EndpointHandler;
import io.chivehollow.coordination.forwarding.adapter.EndpointHandler.Answer;
import io.chivehollow.transport.TransportException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.jboss.logging.Logger;

/**
 * Serves the small calls of operators and of the load balancer.
 *
 * <p>Thread-safe. Requests are bounded in size, and silent connections are closed.
 */
final class Endpoint implements AutoCloseable {

    /** Longer than the pause between two calls of a load balancer or an operator on one connection. */
    private static final int SILENCE_S = 60;

    private static final Logger LOG = Logger.getLogger(Endpoint.class);

    private final Channel serverChannel;

    private Endpoint(Channel serverChannel) {
        this.serverChannel = serverChannel;
    }

    /** Starts to listen at the address; larger bodies than the given size are refused with 413. */
    static Endpoint start(
            InetSocketAddress address, EventLoopGroup eventLoops, int maxBodyBytes, EndpointHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new ReadTimeoutHandler(SILENCE_S, TimeUnit.SECONDS))
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpServerKeepAliveHandler())
                                .addLast(new HttpObjectAggregator(maxBodyBytes))
                                .addLast(new Handler(handler));
                    }
                });
        try {
            return new Endpoint(bootstrap.bind(address).syncUninterruptibly().channel());
            // Netty rethrows the checked BindException without declaring it.
        } catch (Exception e) {
            throw TransportException.notSent(ErrorCode.INTERNAL, "Cannot listen at " + address + ": " + e, e);
        }
    }

    @Override
    public void close() {
        serverChannel.close();
    }

    /** Answers the requests of one connection; used on its event loop. */
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final EndpointHandler handler;

        Handler(EndpointHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                write(context, Answer.empty(HttpResponseStatus.BAD_REQUEST.code()))
                        .addListener(ChannelFutureListener.CLOSE);
                return;
            }
            int query = request.uri().indexOf('?');
            String path = query < 0 ? request.uri() : request.uri().substring(0, query);
            EndpointHandler.Request read =
                    new EndpointHandler.Request(request.method().name(), path, ByteBufUtil.getBytes(request.content()));
            handler.handle(read).whenComplete((answer, failure) -> {
                if (failure != null) {
                    LOG.errorf(failure, "%s %s cannot be answered", read.method(), path);
                    write(context, Answer.empty(HttpResponseStatus.INTERNAL_SERVER_ERROR.code()));
                } else {
                    write(context, answer);
                }
            });
        }

        private static ChannelFuture write(ChannelHandlerContext context, Answer answer) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status()),
                    Unpooled.wrappedBuffer(answer.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, answer.contentType())
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
            return context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debugf("Connection to an endpoint failed: %s", cause);
            context.close();
        }
    }
}
