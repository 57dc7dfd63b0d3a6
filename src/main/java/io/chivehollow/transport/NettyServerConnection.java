package io.chivehollow.transport;

import java.util.ArrayList;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.chivehollow.base.Identifiers;
import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.Challenge;
import io.chivehollow.protocol.wire.Failure;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Hello;
import io.chivehollow.protocol.wire.Pong;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The server's side of a connection.
 *
 * <p>Invariant: no call reaches the handler before the client has proved that it has the deployment secret. The map of
 * open calls is thread-safe; the other fields are used on the event loop only.
 */
final class NettyServerConnection extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOG = Logger.getLogger(NettyServerConnection.class);
    private static final AtomicLong NEXT_CONNECTION_ID = new AtomicLong(1);

    private final TransportOptions options;
    private final Handshake handshake;
    private final CallHandler handler;
    private final long connectionId = NEXT_CONNECTION_ID.getAndIncrement();
    private final Map<Long, Call> openCalls = new ConcurrentHashMap<>();
    private final ByteString serverNonce = Handshake.newNonce();
    private final HeartbeatHandler heartbeat;
    private @Nullable Hello hello;
    private @Nullable InstanceId peer;

    NettyServerConnection(TransportOptions options, CallHandler handler) {
        this.options = options;
        this.handshake = new Handshake(options.secret());
        this.handler = handler;
        this.heartbeat = HeartbeatHandler.ofServer(options, this::isActive);
    }

    HeartbeatHandler heartbeat() {
        return heartbeat;
    }

    /** Returns whether an unresponsive peer must be detected early: during the handshake and while a call is open. */
    private boolean isActive() {
        return peer == null || !openCalls.isEmpty();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        InstanceId client = peer;
        if (client == null) {
            onHandshake(ctx, frame);
            return;
        }
        switch (frame.getBodyCase()) {
            case PING -> ctx.writeAndFlush(Frame.newBuilder()
                    .setPong(Pong.newBuilder().setSequence(frame.getPing().getSequence()))
                    .build());
            case CANCEL -> {
                Call call = openCalls.remove(frame.getCallId());
                if (call != null) {
                    call.listener.onCancel();
                }
            }
            default -> onCallFrame(ctx.channel(), client, frame);
        }
    }

    private void onHandshake(ChannelHandlerContext ctx, Frame frame) {
        Hello pending = hello;
        if (pending == null) {
            onHello(ctx, frame);
            return;
        }
        ByteString expected = handshake.clientProof(pending.getNonce(), serverNonce, pending.getInstance());
        if (!frame.hasProof() || !Handshake.matches(expected, frame.getProof().getMac())) {
            LOG.warnf(
                    "Rejected connection from %s: the client did not prove that it has the deployment secret",
                    ctx.channel().remoteAddress());
            ctx.close();
            return;
        }
        peer = InstanceId.of(pending.getInstance());
        FramePipeline.allowLargeFrames(ctx.channel(), options);
    }

    private void onHello(ChannelHandlerContext ctx, Frame frame) {
        Hello first = frame.getHello();
        if (!Handshake.isNonce(first.getNonce()) || !Identifiers.isIdentifier(first.getInstance())) {
            LOG.warnf(
                    "Rejected connection from %s: invalid nonce or instance id in the Hello frame",
                    ctx.channel().remoteAddress());
            ctx.close();
            return;
        }
        hello = first;
        String self = options.instance().value();
        Challenge challenge = Challenge.newBuilder()
                .setNonce(serverNonce)
                .setMac(handshake.serverProof(first.getNonce(), serverNonce, self))
                .setInstance(self)
                .build();
        ctx.writeAndFlush(Frame.newBuilder().setChallenge(challenge).build());
    }

    private void onCallFrame(Channel channel, InstanceId client, Frame frame) {
        Call open = openCalls.get(frame.getCallId());
        if (open != null) {
            open.listener.onFrame(frame);
            return;
        }
        if (isForEndedCall(frame)) {
            return;
        }
        Call call = new Call(channel, client, frame.getCallId());
        openCalls.put(frame.getCallId(), call);
        heartbeat.onCallOpened();
        ServerCallListener listener = handler.onCall(call, frame);
        call.listener = listener;
    }

    /**
     * Returns whether a frame without an open call belongs to a call that has already ended.
     *
     * <p>Frames of these types never start a call.
     */
    private static boolean isForEndedCall(Frame frame) {
        return frame.hasStartPrefill() || frame.hasStartDecode() || frame.hasRelease();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        for (Call call : new ArrayList<>(openCalls.values())) {
            if (openCalls.remove(call.callId) != null) {
                call.listener.onCancel();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.debugf(
                "Closing connection from %s after an error: %s", ctx.channel().remoteAddress(), cause);
        ctx.close();
    }

    /** A call of this connection; thread-safe. */
    private final class Call implements ServerCall {

        private final Channel channel;
        private final InstanceId client;
        private final long callId;
        private volatile ServerCallListener listener = ServerCallListener.none();

        Call(Channel channel, InstanceId client, long callId) {
            this.channel = channel;
            this.client = client;
            this.callId = callId;
        }

        @Override
        public InstanceId peer() {
            return client;
        }

        @Override
        public long connectionId() {
            return connectionId;
        }

        @Override
        public void send(Frame.Builder frame) {
            if (openCalls.containsKey(callId)) {
                channel.writeAndFlush(frame.setCallId(callId).build());
            }
        }

        @Override
        public void finish(Frame.Builder frame) {
            if (openCalls.remove(callId) != null) {
                channel.writeAndFlush(frame.setCallId(callId).setLast(true).build());
            }
        }

        @Override
        public void fail(Failure failure) {
            finish(Frame.newBuilder().setFailure(failure));
        }
    }
}
