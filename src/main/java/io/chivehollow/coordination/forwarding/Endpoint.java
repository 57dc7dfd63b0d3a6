package io.chivehollow.coordination.forwarding;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.forwarding.adapter.EndpointHandler;
import io.chivehollow.coordination.forwarding.adapter.EndpointHandler.Response;
import io.chivehollow.transport.TransportException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
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
 * HTTP server for requests of operators and of the load balancer.
 *
 * <p>Thread-safe. The size of requests is limited, and idle connections are closed.
 */
final class Endpoint implements AutoCloseable {

    /** Longer than the time between two requests of a load balancer or an operator on one connection. */
    private static final int IDLE_TIMEOUT_S = 60;

    /** Callers send the request to another instance after a second without a response. */
    private static final long CALLER_PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** More reads than a request and the end of its connection take; larger bodies are read in several rounds. */
    private static final int MAX_READS = 16;

    private static final Logger LOG = Logger.getLogger(Endpoint.class);

    private final Channel serverChannel;

    private Endpoint(Channel serverChannel) {
        this.serverChannel = serverChannel;
    }

    /**
     * Starts to listen at the address; requests with a body larger than the given size are refused with status 413.
     * The input delay must be that of the event loops.
     */
    static Endpoint start(
            InetSocketAddress address,
            EventLoopGroup eventLoops,
            InputDelay inputDelay,
            int maxBodyBytes,
            EndpointHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readToTheEnd())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_S, TimeUnit.SECONDS))
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpServerKeepAliveHandler())
                                .addLast(new HttpObjectAggregator(maxBodyBytes))
                                .addLast(new Handler(handler, inputDelay));
                    }
                });
        try {
            return new Endpoint(bootstrap.bind(address).syncUninterruptibly().channel());
            // Netty rethrows the checked BindException without declaring it.
        } catch (Exception e) {
            throw TransportException.notSent(ErrorCode.INTERNAL, "Cannot listen at " + address + ": " + e, e);
        }
    }

    /** Reads all input that has arrived, so that a caller that has closed is noticed together with its request. */
    private static RecvByteBufAllocator readToTheEnd() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_READS);
        return allocator.respectMaybeMoreData(false);
    }

    @Override
    public void close() {
        serverChannel.close();
    }

    /** Responds to the requests on one connection; used on its event loop. */
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final EndpointHandler handler;
        private final InputDelay inputDelay;

        Handler(EndpointHandler handler, InputDelay inputDelay) {
            this.handler = handler;
            this.inputDelay = inputDelay;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                write(context, Response.empty(HttpResponseStatus.BAD_REQUEST.code()))
                        .addListener(ChannelFutureListener.CLOSE);
                return;
            }
            int query = request.uri().indexOf('?');
            String path = query < 0 ? request.uri() : request.uri().substring(0, query);
            EndpointHandler.Request received = new EndpointHandler.Request(
                    request.method().name(),
                    path,
                    ByteBufUtil.getBytes(request.content()),
                    new ConnectedCaller(
                            context.channel(),
                            inputDelay.earliestArrivalNanos(context.channel().eventLoop())));
            handler.handle(received).whenComplete((response, failure) -> {
                if (failure != null) {
                    LOG.errorf(failure, "%s %s failed and gets a response with status 500", received.method(), path);
                    write(context, Response.empty(HttpResponseStatus.INTERNAL_SERVER_ERROR.code()));
                } else {
                    write(context, response);
                }
            });
        }

        private static ChannelFuture write(ChannelHandlerContext context, Response content) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(content.status()),
                    Unpooled.wrappedBuffer(content.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, content.contentType())
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, content.body().length);
            return context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debugf("Connection to an endpoint failed and is closed: %s", cause);
            context.close();
        }
    }

    /**
     * The caller at the other end of a connection.
     *
     * @param channel the connection
     * @param earliestArrivalNanos earliest time at which the request can have arrived
     */
    private record ConnectedCaller(Channel channel, long earliestArrivalNanos) implements EndpointHandler.Caller {

        @Override
        public CompletableFuture<Boolean> isWaiting() {
            // On the event loop, which has by then read everything that arrived with the request.
            return CompletableFuture.supplyAsync(
                    () -> channel.isActive() && System.nanoTime() - earliestArrivalNanos < CALLER_PATIENCE_NANOS,
                    channel.eventLoop());
        }
    }
}
