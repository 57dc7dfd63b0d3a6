package io.chivehollow.coordination.forwarding.ingress;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.forwarding.flow.ForwardServices;
import io.chivehollow.coordination.forwarding.pressure.ProcessLoad;
import io.chivehollow.coordination.forwarding.pressure.ProcessPressure;
import io.chivehollow.coordination.forwarding.route.RouteTable;
import io.chivehollow.transport.TransportException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.jspecify.annotations.Nullable;

/**
 * Accepts the connections of callers.
 *
 * <p>All connections are served on one event loop, which owns all state of forwarded requests, so that no locks are
 * needed; a machine of the users' installations has at most two cores. Methods are thread-safe unless stated
 * otherwise.
 */
public final class Ingress {

    /** Callers open some hundred connections to one instance; the rest is for bursts. */
    private static final int BACKLOG = 1_024;

    private static final int MAX_LINE_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final ForwardServices services;
    private final ProcessPressure pressure;
    private final HeldLimit heldLimit;
    private final Set<IngressConnection> connections = new HashSet<>();
    private @Nullable Channel serverChannel;
    private volatile boolean isDraining;
    private volatile boolean isClosing;

    private Ingress(ForwardServices services, ProcessPressure pressure) {
        this.services = services;
        this.pressure = pressure;
        this.heldLimit = new HeldLimit(services.loop(), pressure, connections);
    }

    /**
     * Starts to listen at the address.
     *
     * @param pressure bounds what the connections hold, and decides which new requests are refused
     * @throws TransportException if the address cannot be bound
     */
    public static Ingress start(InetSocketAddress address, ForwardServices services, ProcessPressure pressure) {
        Ingress ingress = new Ingress(services, pressure);
        EventLoop loop = services.loop();
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ingress.accept(channel);
                    }
                });
        try {
            ingress.serverChannel =
                    bootstrap.bind(address).syncUninterruptibly().channel();
            loop.scheduleWithFixedDelay(
                    ingress::onTick, ProcessLoad.TICK_MS, ProcessLoad.TICK_MS, TimeUnit.MILLISECONDS);
            return ingress;
            // Netty rethrows the checked BindException without declaring it.
        } catch (Exception e) {
            throw TransportException.notSent(ErrorCode.INTERNAL, "Cannot listen at " + address + ": " + e, e);
        }
    }

    /**
     * Returns the address at which the ingress listens.
     *
     * @throws IllegalStateException if it does not listen
     */
    public InetSocketAddress address() {
        if (serverChannel == null) {
            throw new IllegalStateException("The ingress is not listening");
        }
        return (InetSocketAddress) serverChannel.localAddress();
    }

    private void accept(SocketChannel channel) {
        CallerLimits limits = limits();
        IngressConnection connection = new IngressConnection(this, services, limits);
        connections.add(connection);
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES);
        channel.pipeline()
                .addLast(new RequestTimer(limits))
                .addLast(new RequestCodec(config))
                .addLast(connection);
    }

    private void onTick() {
        heldLimit.onTick();
        pressure.onTick(
                connections.size() + services.connections().openChannels(),
                services.admission().routes().map(RouteTable::shortestTargetMs).orElse(0));
    }

    private CallerLimits limits() {
        return services.admission()
                .routes()
                .map(routes -> CallerLimits.of(routes.limits()))
                .orElseGet(CallerLimits::defaults);
    }

    ProcessPressure pressure() {
        return pressure;
    }

    HeldLimit heldLimit() {
        return heldLimit;
    }

    void onClosed(IngressConnection connection) {
        connections.remove(connection);
        heldLimit.onClosed(connection);
    }

    boolean isDraining() {
        return isDraining;
    }

    /**
     * Returns whether connections are closed as soon as they have no open request, and requests that become complete
     * are refused.
     */
    boolean isClosing() {
        return isClosing;
    }

    /** Makes each response end its connection from now on; new connections are still accepted. */
    public void beginDrain() {
        isDraining = true;
    }

    /** Stops listening, closes the connections that have no open request, and refuses requests from now on. */
    public void closeIdle() {
        isClosing = true;
        Channel listening = serverChannel;
        if (listening != null) {
            listening.close();
        }
        services.loop().execute(() -> Set.copyOf(connections).forEach(IngressConnection::closeIfIdle));
    }

    /**
     * Ends all open requests with an answer that states whether they may have run; a response that has begun is cut
     * off.
     */
    public void failOpenRequests() {
        services.loop().execute(() -> Set.copyOf(connections).forEach(IngressConnection::failOpenRequest));
    }

    /** Returns the number of open requests; must be called on the event loop. */
    public int openRequests() {
        return (int) connections.stream().filter(IngressConnection::isBusy).count();
    }
}
