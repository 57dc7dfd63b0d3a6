package io.chivehollow.transport;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Opens connections to other processes of the system.
 *
 * <p>Thread-safe.
 */
public final class FrameClient {

    private final TransportOptions options;
    private final EventLoopGroup eventLoops;

    private FrameClient(TransportOptions options, EventLoopGroup eventLoops) {
        this.options = options;
        this.eventLoops = eventLoops;
    }

    /** Returns a client that uses the given event loops; the code that created them must shut them down. */
    public static FrameClient create(TransportOptions options, EventLoopGroup eventLoops) {
        return new FrameClient(options, eventLoops);
    }

    /** Opens and authenticates a connection; the future fails with a {@link TransportException}. */
    public CompletableFuture<ClientConnection> connect(InetSocketAddress address) {
        CompletableFuture<ClientConnection> ready = new CompletableFuture<>();
        NettyClientConnection connection = new NettyClientConnection(options, ready);
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectTimeoutMs())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        FramePipeline.install(channel, connection.heartbeat(), connection);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                ready.completeExceptionally(TransportException.notSent(
                        ErrorCode.CONNECTION_LOST, "Cannot connect to " + address, done.cause()));
            }
        });
        connecting
                .channel()
                .eventLoop()
                .schedule(
                        () -> {
                            boolean hasTimedOut = ready.completeExceptionally(TransportException.notSent(
                                    ErrorCode.CONNECTION_LOST, "Handshake with " + address + " timed out", null));
                            if (hasTimedOut) {
                                connecting.channel().close();
                            }
                        },
                        options.connectTimeoutMs(),
                        TimeUnit.MILLISECONDS);
        return ready;
    }
}
