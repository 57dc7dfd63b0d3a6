package io.chivehollow.standin;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * HTTP server of the stand-ins on the loopback interface.
 *
 * <p>Thread-safe. The handler runs on event loops and must not block.
 */
final class StandInServer implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 16 << 20;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel serverChannel;
    private volatile Map<String, String> fixedHeaders = Map.of();

    private StandInServer(int port, Consumer<StandInExchange> handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new RequestHandler(handler));
                    }
                });
        serverChannel = bootstrap
                .bind(new InetSocketAddress("127.0.0.1", port))
                .syncUninterruptibly()
                .channel();
    }

    /** Starts a server; port 0 chooses a free port. */
    static StandInServer start(int port, Consumer<StandInExchange> handler) {
        return new StandInServer(port, handler);
    }

    /** Sets headers for the responses to requests that arrive from now on. */
    void setFixedHeaders(Map<String, String> headers) {
        fixedHeaders = Map.copyOf(headers);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    void closeConnections() {
        connections.close();
    }

    @Override
    public void close() {
        if (eventLoops.isShuttingDown()) {
            return;
        }
        serverChannel.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
        // The JDK closes the listening socket only after the selector has processed the close. Until then connections
        // are accepted and then reset, which a client cannot distinguish from a call that was run.
        eventLoops.shutdownGracefully(0, 5, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Passes each complete request to the handler; one instance per connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Consumer<StandInExchange> handler;

        RequestHandler(Consumer<StandInExchange> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            handler.accept(new StandInExchange(ctx.channel(), request, fixedHeaders));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
