package io.chivehollow.coordination.forwarding;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.forwarding.adapter.HttpFetcher;
import io.chivehollow.protocol.StatusCodes;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Fetches documents, each over a connection of its own.
 *
 * <p>Thread-safe.
 */
final class NettyHttpFetcher implements HttpFetcher {

    /**
     * Timeout of the whole fetch in milliseconds, however slowly bytes arrive; the document is fetched about once a
     * second, and the next fetch begins when this one has ended.
     */
    private static final int TIMEOUT_MS = 900;

    /** One page of the list has 50 entries of about 250 bytes; leaves room for a very large one of another writer. */
    private static final int MAX_BODY_BYTES = 4 << 20;

    private final EventLoopGroup eventLoops;

    NettyHttpFetcher(EventLoopGroup eventLoops) {
        this.eventLoops = eventLoops;
    }

    @Override
    public CompletableFuture<Document> get(InetSocketAddress address, String uri) {
        CompletableFuture<Document> result = new CompletableFuture<>();
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new Handler(result));
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                fail(result, "Cannot connect to " + address, done.cause());
                return;
            }
            Channel channel = connecting.channel();
            channel.eventLoop()
                    .schedule(
                            () -> {
                                // Before the close, which would end a body of no stated length as if it were complete.
                                fail(result, "No complete response within " + TIMEOUT_MS + " ms", null);
                                channel.close();
                            },
                            TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
            request.headers()
                    .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(request);
        });
        return result;
    }

    private static void fail(CompletableFuture<Document> result, String message, @Nullable Throwable cause) {
        result.completeExceptionally(CoordinationException.mayHaveRun(ErrorCode.CONNECTION_LOST, message, cause));
    }

    /** Handles the response; used on the event loop of the connection. */
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final CompletableFuture<Document> result;

        Handler(CompletableFuture<Document> result) {
            this.result = result;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.decoderResult().isFailure()) {
                fail(
                        result,
                        "The response is not valid HTTP",
                        response.decoderResult().cause());
            } else if (!StatusCodes.isValid(response.status().code())) {
                fail(result, "The status is " + response.status().code(), null);
            } else {
                result.complete(new Document(response.status().code(), ByteBufUtil.getBytes(response.content())));
            }
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(result, "The connection was closed before the response was complete", null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(result, "The connection failed before the response was complete", cause);
            context.close();
        }
    }
}
