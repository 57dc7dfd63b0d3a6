package io.chivehollow.transport;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.Cancel;
import io.chivehollow.protocol.wire.Challenge;
import io.chivehollow.protocol.wire.Failure;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Hello;
import io.chivehollow.protocol.wire.Ping;
import io.chivehollow.protocol.wire.Proof;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jspecify.annotations.Nullable;

/**
 * The client's side of a connection.
 *
 * <p>Invariant: a listener is in the map of open calls until the end of its call is reported to it; the end is reported
 * once. The map and the counter are thread-safe; the other fields are written on the event loop only.
 */
final class NettyClientConnection extends SimpleChannelInboundHandler<Frame> implements ClientConnection {

    private final TransportOptions options;
    private final Handshake handshake;
    private final CompletableFuture<ClientConnection> ready;
    private final Map<Long, CallListener> openCalls = new ConcurrentHashMap<>();
    private final AtomicLong nextCallId = new AtomicLong(1);
    private final ByteString clientNonce = Handshake.newNonce();
    private final HeartbeatHandler heartbeat;
    private long pingSequence;
    private volatile boolean isClosed;
    private volatile @Nullable Channel channel;
    private volatile @Nullable InstanceId peer;

    NettyClientConnection(TransportOptions options, CompletableFuture<ClientConnection> ready) {
        this.options = options;
        this.handshake = new Handshake(options.secret());
        this.ready = ready;
        this.heartbeat = HeartbeatHandler.ofClient(options, this::isActive, this::ping);
    }

    HeartbeatHandler heartbeat() {
        return heartbeat;
    }

    /** Returns whether an unresponsive peer must be detected early: during the handshake and while a call is open. */
    private boolean isActive() {
        return peer == null || !openCalls.isEmpty();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        Hello hello = Hello.newBuilder()
                .setNonce(clientNonce)
                .setInstance(options.instance().value())
                .setRole(options.role())
                .build();
        ctx.writeAndFlush(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        switch (frame.getBodyCase()) {
            case CHALLENGE -> onChallenge(ctx, frame.getChallenge());
            case PONG -> {
                // Any received bytes prove that the peer is responsive; a Pong needs no further handling.
            }
            default -> onResponse(frame);
        }
    }

    private void onChallenge(ChannelHandlerContext ctx, Challenge challenge) {
        if (peer != null) {
            ctx.close();
            return;
        }
        ByteString expected = handshake.serverProof(clientNonce, challenge.getNonce(), challenge.getInstance());
        if (!Handshake.matches(expected, challenge.getMac())) {
            ready.completeExceptionally(TransportException.notSent(
                    ErrorCode.FORBIDDEN,
                    "Server at " + ctx.channel().remoteAddress() + " did not prove that it has the deployment secret",
                    null));
            ctx.close();
            return;
        }
        ByteString mac = handshake.clientProof(
                clientNonce, challenge.getNonce(), options.instance().value());
        ctx.writeAndFlush(
                Frame.newBuilder().setProof(Proof.newBuilder().setMac(mac)).build());
        peer = InstanceId.of(challenge.getInstance());
        FramePipeline.allowLargeFrames(ctx.channel(), options);
        ready.complete(this);
    }

    private void ping() {
        Channel current = channel;
        if (current == null || peer == null) {
            return;
        }
        pingSequence++;
        current.writeAndFlush(Frame.newBuilder()
                .setPing(Ping.newBuilder().setSequence(pingSequence))
                .build());
    }

    private void onResponse(Frame frame) {
        boolean isLast = frame.getLast() || frame.hasFailure();
        CallListener listener = isLast ? openCalls.remove(frame.getCallId()) : openCalls.get(frame.getCallId());
        if (listener == null) {
            return;
        }
        if (frame.hasFailure()) {
            Failure failure = frame.getFailure();
            listener.onFailure(RemoteFailures.toException(failure));
            return;
        }
        listener.onFrame(frame);
    }

    @Override
    public ClientCall open(Frame.Builder first, CallListener listener) {
        long callId = nextCallId.getAndIncrement();
        openCalls.put(callId, listener);
        heartbeat.onCallOpened();
        Call call = new Call(callId);
        if (isClosed && openCalls.remove(callId) != null) {
            listener.onFailure(TransportException.notSent(
                    ErrorCode.CONNECTION_LOST, "Connection is closed; the call was not sent", null));
            return call;
        }
        call.send(first);
        return call;
    }

    @Override
    public InstanceId peer() {
        InstanceId current = peer;
        if (current == null) {
            throw new IllegalStateException("handshake has not completed");
        }
        return current;
    }

    @Override
    public boolean isOpen() {
        Channel current = channel;
        return !isClosed && current != null && current.isActive();
    }

    @Override
    public boolean hasOpenCalls() {
        return !openCalls.isEmpty();
    }

    @Override
    public void close() {
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        isClosed = true;
        ready.completeExceptionally(
                TransportException.notSent(ErrorCode.CONNECTION_LOST, "Connection closed during the handshake", null));
        for (Long callId : openCalls.keySet()) {
            CallListener listener = openCalls.remove(callId);
            if (listener != null) {
                listener.onFailure(TransportException.mayHaveRun(
                        ErrorCode.CONNECTION_LOST, "Connection lost while the call was open"));
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // Includes the read timeout. channelInactive then fails the open calls.
        ctx.close();
    }

    /** A call of this connection; thread-safe. */
    private final class Call implements ClientCall {

        private final long callId;

        Call(long callId) {
            this.callId = callId;
        }

        @Override
        public void send(Frame.Builder frame) {
            Channel current = channel;
            if (current == null || !openCalls.containsKey(callId)) {
                return;
            }
            current.writeAndFlush(frame.setCallId(callId).build());
        }

        @Override
        public void cancel() {
            Channel current = channel;
            if (openCalls.remove(callId) == null || current == null) {
                return;
            }
            current.writeAndFlush(Frame.newBuilder()
                    .setCallId(callId)
                    .setCancel(Cancel.getDefaultInstance())
                    .build());
        }
    }
}
