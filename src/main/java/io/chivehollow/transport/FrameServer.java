package io.chivehollow.transport;

import java.net.InetSocketAddress;

import io.chivehollow.base.ErrorCode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * Accepts connections from other processes of the system.
 *
 * <p>Thread-safe.
 */
public final class FrameServer implements AutoCloseable {

    private final Channel serverChannel;
    private final ChannelGroup connections;

    private FrameServer(Channel serverChannel, ChannelGroup connections) {
        this.serverChannel = serverChannel;
        this.connections = connections;
    }

    /**
     * Starts a server that listens at the address.
     *
     * <p>The code that created the event loops must shut them down.
     *
     * @throws TransportException if the address cannot be bound
     */
    public static FrameServer start(
            InetSocketAddress address, TransportOptions options, EventLoopGroup eventLoops, CallHandler handler) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        NettyServerConnection connection = new NettyServerConnection(options, handler);
                        FramePipeline.install(channel, connection.heartbeat(), connection);
                    }
                });
        try {
            Channel channel = bootstrap.bind(address).syncUninterruptibly().channel();
            return new FrameServer(channel, connections);
            // Netty rethrows the checked BindException without declaring it, so a narrower catch would not compile.
        } catch (Exception e) {
            throw TransportException.notSent(ErrorCode.INTERNAL, "Cannot listen at " + address + ": " + e, e);
        }
    }

    /** Returns the address at which the server listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Closes all connections and continues to listen. */
    public void closeConnections() {
        connections.close();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        serverChannel.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }
}
