package io.chivehollow.transport;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/**
 * Runs the {@link Heartbeat} of a connection.
 *
 * <p>Used on the event loop, except {@link #onCallOpened}, which is thread-safe.
 */
final class HeartbeatHandler extends ChannelDuplexHandler {

    private final TransportOptions options;
    private final boolean isClient;
    private final BooleanSupplier isConnectionActive;
    private final Runnable ping;
    private @Nullable Heartbeat heartbeat;
    private @Nullable Future<?> timer;
    private boolean isWritingPing;
    private volatile @Nullable ChannelHandlerContext context;

    /** Whether the next tick is scheduled as early as an open call requires. */
    private volatile boolean isScheduledForOpenCalls = true;

    private HeartbeatHandler(
            TransportOptions options, boolean isClient, BooleanSupplier isConnectionActive, Runnable ping) {
        this.options = options;
        this.isClient = isClient;
        this.isConnectionActive = isConnectionActive;
        this.ping = ping;
    }

    /** Returns the handler of a client, which sends heartbeats. */
    static HeartbeatHandler ofClient(TransportOptions options, BooleanSupplier isConnectionActive, Runnable ping) {
        return new HeartbeatHandler(options, true, isConnectionActive, ping);
    }

    /** Returns the handler of a server, which sends no heartbeats and only detects an unresponsive client. */
    static HeartbeatHandler ofServer(TransportOptions options, BooleanSupplier isConnectionActive) {
        return new HeartbeatHandler(options, false, isConnectionActive, () -> {});
    }

    /** Must be called after a call has been added to the open calls; schedules an earlier tick if it is needed. */
    void onCallOpened() {
        ChannelHandlerContext current = context;
        if (!isScheduledForOpenCalls && current != null) {
            current.executor().execute(() -> tick(current));
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        heartbeat = new Heartbeat(options, isClient, now(ctx));
        context = ctx;
        tick(ctx);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (heartbeat != null) {
            heartbeat.onRead(now(ctx));
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (heartbeat != null && !isWritingPing) {
            heartbeat.onWrite(now(ctx));
        }
        ctx.write(message, promise);
    }

    private void tick(ChannelHandlerContext ctx) {
        if (timer != null) {
            timer.cancel(false);
        }
        Heartbeat current = heartbeat;
        if (current == null || !ctx.channel().isActive()) {
            return;
        }
        // Cleared before the open calls are checked, so that a call that is opened meanwhile causes another tick.
        isScheduledForOpenCalls = false;
        boolean isActive = isConnectionActive.getAsBoolean();
        isScheduledForOpenCalls = isActive;
        switch (current.tick(isActive, now(ctx))) {
            case CLOSE -> {
                ctx.fireExceptionCaught(ReadTimeoutException.INSTANCE);
                ctx.close();
                return;
            }
            case PING -> {
                isWritingPing = true;
                ping.run();
                isWritingPing = false;
            }
            default -> {
                // No action is due.
            }
        }
        long delayNanos = current.nextTickNanos() - now(ctx);
        timer = ctx.executor().schedule(() -> tick(ctx), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (timer != null) {
            timer.cancel(false);
        }
        ctx.fireChannelInactive();
    }

    private static long now(ChannelHandlerContext ctx) {
        return ctx.executor().ticker().nanoTime();
    }
}
