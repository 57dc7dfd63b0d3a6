package io.chivehollow.coordination.forwarding.backend;

import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.adapter.ResponseFields;
import io.chivehollow.coordination.forwarding.backend.Backend.IdleConnection;
import io.chivehollow.coordination.forwarding.backend.BackendListener.Failure;
import io.chivehollow.protocol.RequestReadCheck;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to backend servers over connections that are reused.
 *
 * <p>Invariants: a connection carries one request at a time and is reused only after a complete response. A connection
 * that carries requests of callers has carried no response without a request id, because a server may write a response
 * again in place of a later one, and only the id tells them apart. For the same reason, a request is not sent again
 * over a connection that has carried a response to it other than a success. The router's own calls, whose responses
 * often state no id, have connections of their own. Used on the event loop of the forwarding role only.
 */
public final class BackendConnections {

    /**
     * Connecting takes 2 to 4 ms; if the server's accept queue is full, the first packet is dropped and sent again only
     * after a second.
     */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** Assumed idle timeout of a server that states none; most servers state some seconds. */
    private static final long DEFAULT_IDLE_MS = 2_000;

    /**
     * Share of the idle timeout after which a connection is not reused, because a request may cross the close by the
     * server.
     */
    private static final double IDLE_SHARE = 0.6;

    /**
     * Maximum number of idle connections of each kind to one server; a process sends at most a few concurrent requests
     * to each.
     */
    private static final int MAX_IDLE = 16;

    /** Time in milliseconds in which the system closes the port of a crashed server after its first connection. */
    private static final int CRASH_MS = 20;

    private static final double NANOS_PER_MS = 1e6;

    private static final String REFUSED_REASON = "the server wants no requests";

    private final EventLoop loop;
    private final LongSupplier nanoTime;
    private final Dialect dialect;
    private final Bootstrap bootstrap;
    private int openChannels;

    private BackendConnections(EventLoop loop, LongSupplier nanoTime, Dialect dialect) {
        this.loop = loop;
        this.nanoTime = nanoTime;
        this.dialect = dialect;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.SO_SNDBUF, RequestReadCheck.SEND_BUFFER_BYTES)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        openChannels++;
                        channel.closeFuture().addListener(closed -> openChannels--);
                        ResponseDecoder decoder = new ResponseDecoder();
                        BackendHandler handler = new BackendHandler(dialect, decoder);
                        channel.pipeline()
                                .addLast(new ReceivedBytes(handler))
                                .addLast(new HttpRequestEncoder())
                                .addLast(decoder)
                                .addLast(handler);
                    }
                });
    }

    /** Returns an instance without connections that runs on the event loop. */
    public static BackendConnections create(EventLoop loop, LongSupplier nanoTime, Dialect dialect) {
        return new BackendConnections(loop, nanoTime, dialect);
    }

    /** Sends the request of a caller, which is released; the returned call can be cancelled. */
    public BackendCall send(Backend backend, FullHttpRequest request, BackendListener listener) {
        if (listener.isEndInContent()) {
            return send(backend, request, listener, false);
        }
        BackendCall call = newCall(backend, request, listener, false);
        RunWitness witness = witness(backend);
        witness.whenOpen(() -> {
            call.observeRun(witness.observe());
            send(call, request);
        });
        return call;
    }

    private RunWitness witness(Backend backend) {
        RunWitness witness = backend.witness;
        if (witness == null) {
            witness = new RunWitness(this, backend);
            backend.witness = witness;
        }
        return witness;
    }

    private BackendCall newCall(Backend backend, FullHttpRequest request, BackendListener listener, boolean isOwn) {
        return new BackendCall(this, backend, listener, dialect.requestId(request.headers()), isOwn);
    }

    private BackendCall send(Backend backend, FullHttpRequest request, BackendListener listener, boolean isOwn) {
        BackendCall call = newCall(backend, request, listener, isOwn);
        send(call, request);
        return call;
    }

    private void send(BackendCall call, FullHttpRequest request) {
        if (call.isEnded()) {
            call.endObservation();
            request.release();
            return;
        }
        if (isRefused(call)) {
            request.release();
            call.fail(Failure.NOT_SENT, REFUSED_REASON);
            return;
        }
        Backend backend = call.backend;
        Channel idle = takeIdle(call.isOwn ? backend.idleOwnConnections : backend.idleConnections, call);
        if (idle != null) {
            start(call, idle, request);
            return;
        }
        long startNanos = nanoTime.getAsLong();
        ChannelFuture connecting = bootstrap.connect(backend.entry().address());
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                long now = nanoTime.getAsLong();
                backend.onConnected((now - startNanos) / NANOS_PER_MS, now);
            }
            if (!done.isSuccess()) {
                request.release();
                call.fail(Failure.NOT_SENT, "cannot connect: " + done.cause());
            } else if (call.isEnded()) {
                request.release();
                connecting.channel().close();
            } else if (isRefused(call)) {
                request.release();
                returnIdle(backend, connecting.channel(), -1, call.isOwn);
                call.fail(Failure.NOT_SENT, REFUSED_REASON);
            } else {
                start(call, connecting.channel(), request);
            }
        });
    }

    /** Returns whether the server has stated, since it was selected, that it wants no request. */
    private boolean isRefused(BackendCall call) {
        return !call.isOwn && !call.backend.mayReceive(nanoTime.getAsLong());
    }

    private static void start(BackendCall call, Channel channel, FullHttpRequest request) {
        BackendHandler handler = channel.pipeline().get(BackendHandler.class);
        handler.start(call, request.method());
        call.write(channel, request, handler);
    }

    /**
     * Sends the request of a caller, which is abandoned if no complete response arrives within the timeout in
     * milliseconds.
     *
     * <p>An unresponsive server does not close its connections and is detected only by a timer.
     */
    public BackendCall send(Backend backend, FullHttpRequest request, BackendListener listener, int timeoutMs) {
        BackendCall call = send(backend, request, listener);
        call.failAfter(loop, timeoutMs);
        return call;
    }

    /** Sends a call of the router itself, which is abandoned after the timeout in milliseconds. */
    public void sendOwn(Backend backend, FullHttpRequest request, ShortResponse listener, int timeoutMs) {
        send(backend, request, listener, true).failAfter(loop, timeoutMs);
    }

    /** Returns the number of connections that are open or being opened. */
    public int openChannels() {
        return openChannels;
    }

    long nanoTime() {
        return nanoTime.getAsLong();
    }

    EventLoop loop() {
        return loop;
    }

    /** Opens a connection; the receiver gets null if that fails. */
    void connect(Backend backend, Consumer<@Nullable Channel> receiver) {
        ChannelFuture connecting = bootstrap.connect(backend.entry().address());
        connecting.addListener(done -> receiver.accept(done.isSuccess() ? connecting.channel() : null));
    }

    /** Sends a probe over the connection. */
    void probe(Backend backend, Channel channel, RunProbe.Receiver receiver) {
        if (!channel.isActive()) {
            receiver.onResult(false, null);
            return;
        }
        FullHttpRequest request = dialect.probe();
        RunProbe probe = new RunProbe(this, backend, receiver);
        BackendCall call = newCall(backend, request, probe, true);
        call.keepChannel();
        probe.setCall(call);
        start(call, channel, request);
    }

    /** Reads the head of a response, and records what the server states about itself. */
    ResponseFields readHead(Backend backend, HttpResponse head) {
        return backend.readHead(dialect, head, nanoTime.getAsLong());
    }

    /** Returns the time in nanoseconds for which an idle connection may be used. */
    long usableNanos(long statedIdleMs) {
        long idleMs = statedIdleMs < 0 ? DEFAULT_IDLE_MS : statedIdleMs;
        return (long) (TimeUnit.MILLISECONDS.toNanos(idleMs) * IDLE_SHARE);
    }

    /**
     * Tells whether the server still accepts connections after one of its connections has ended; the new connection is
     * kept for later requests of callers.
     */
    public void checkReachable(Backend backend, Consumer<Boolean> receiver) {
        loop.schedule(() -> tryConnect(backend, receiver), CRASH_MS, TimeUnit.MILLISECONDS);
    }

    private void tryConnect(Backend backend, Consumer<Boolean> receiver) {
        ChannelFuture connecting = bootstrap.connect(backend.entry().address());
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                returnIdle(backend, connecting.channel(), -1, false);
            }
            receiver.accept(done.isSuccess());
        });
    }

    private @Nullable Channel takeIdle(Deque<IdleConnection> connections, BackendCall call) {
        long now = nanoTime.getAsLong();
        for (Iterator<IdleConnection> idle = connections.iterator(); idle.hasNext(); ) {
            IdleConnection next = idle.next();
            Channel channel = next.channel();
            if (!channel.isActive() || next.expiryNanos() - now <= 0) {
                idle.remove();
                channel.close();
            } else if (channel.pipeline().get(BackendHandler.class).mayCarry(call)) {
                idle.remove();
                return channel;
            }
        }
        return null;
    }

    void returnIdle(Backend backend, Channel channel, long idleTimeoutMs, boolean isOwn) {
        channel.config().setAutoRead(true);
        Deque<IdleConnection> connections = isOwn ? backend.idleOwnConnections : backend.idleConnections;
        if (!backend.isUsable() || connections.size() >= MAX_IDLE) {
            channel.close();
            return;
        }
        connections.addFirst(new IdleConnection(channel, nanoTime.getAsLong() + usableNanos(idleTimeoutMs)));
    }

    /** Closes the idle connections of a backend server that is no longer used. */
    public void closeIdle(Backend backend) {
        closeAll(backend.idleConnections);
        closeAll(backend.idleOwnConnections);
        if (backend.witness != null) {
            backend.witness.closeIfUnused();
        }
    }

    private static void closeAll(Deque<IdleConnection> connections) {
        connections.forEach(connection -> connection.channel().close());
        connections.clear();
    }
}
