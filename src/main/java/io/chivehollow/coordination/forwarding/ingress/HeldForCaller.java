package io.chivehollow.coordination.forwarding.ingress;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.chivehollow.coordination.forwarding.flow.RequestProgress;
import io.chivehollow.coordination.forwarding.pressure.HeldBytes;
import io.chivehollow.coordination.forwarding.pressure.HeldBytes.Kind;
import io.chivehollow.coordination.forwarding.pressure.HeldRequest;
import io.chivehollow.coordination.forwarding.pressure.HeldRequest.Stage;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import org.jspecify.annotations.Nullable;

/**
 * What the process holds for the connection of one caller, and for how long the other side has taken nothing of it.
 *
 * <p>Used on the event loop of the connection.
 */
final class HeldForCaller {

    /**
     * Bytes of a response that may wait for a slow caller, so that the backend server is read on; it cuts off a
     * response that is not read for some seconds.
     */
    private static final WriteBufferWaterMark AMPLE = new WriteBufferWaterMark(256 << 10, 512 << 10);

    private static final WriteBufferWaterMark LIMITED = new WriteBufferWaterMark(32 << 10, 64 << 10);
    private static final WriteBufferWaterMark SCARCE = new WriteBufferWaterMark(8 << 10, 16 << 10);

    private final HeldBytes held;
    private final HeldBytes.Account account;
    private final Channel channel;
    private final LongSupplier nanoTime;
    private @Nullable WriteBufferWaterMark waterMark;
    private long writtenBytes;
    private long takenBytes;
    private long serverBytes;
    private boolean isWaiting;
    private long progressNanos;
    private int lastPriority = HeldRequest.UNKNOWN_PRIORITY;
    private boolean isLastRepeatable;

    HeldForCaller(HeldBytes held, Channel channel, LongSupplier nanoTime) {
        this.held = held;
        this.account = held.open();
        this.channel = channel;
        this.nanoTime = nanoTime;
        adjustWaterMark();
    }

    private void adjustWaterMark() {
        WriteBufferWaterMark next =
                switch (held.level()) {
                    case AMPLE -> AMPLE;
                    case LIMITED -> LIMITED;
                    case SCARCE, EXCEEDED -> SCARCE;
                };
        if (next != waterMark) {
            waterMark = next;
            channel.config().setWriteBufferWaterMark(next);
        }
    }

    void onWritten(long bytes) {
        writtenBytes += bytes;
    }

    /**
     * Updates the account.
     *
     * @param requestBytes bytes of received requests
     * @param progress the request that is processed, or null if there is none
     */
    void refresh(long requestBytes, @Nullable RequestProgress progress) {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        long callerBytes = pending == null ? 0 : pending.totalPendingWriteBytes();
        long newServerBytes = progress == null ? 0 : progress.serverBytes();
        account.set(Kind.REQUEST, requestBytes);
        account.set(Kind.SERVER, newServerBytes);
        account.set(Kind.RESPONSE, callerBytes + (progress == null ? 0 : progress.responseBytes()));
        boolean wasWaiting = isWaiting;
        isWaiting = callerBytes > 0 || newServerBytes > 0;
        if (!isWaiting) {
            return;
        }
        adjustWaterMark();
        long newTakenBytes = writtenBytes - callerBytes;
        if (!wasWaiting || newTakenBytes > takenBytes || newServerBytes < serverBytes) {
            progressNanos = nanoTime.getAsLong();
        }
        takenBytes = newTakenBytes;
        serverBytes = newServerBytes;
    }

    /** Records the request whose response waits from now on for its caller. */
    void onRequestEnd(RequestProgress ended) {
        lastPriority = ended.priority();
        isLastRepeatable = ended.isRepeatable();
    }

    /**
     * Returns the request that is let go if the process has to free what is held.
     *
     * @param progress the request that is processed, or null if there is none
     */
    HeldRequest describe(Stage stage, @Nullable RequestProgress progress) {
        if (stage == Stage.RECEIVING) {
            return new HeldRequest(stage, HeldRequest.UNKNOWN_PRIORITY, true, account.totalBytes(), 0);
        }
        return new HeldRequest(
                stage,
                progress == null ? lastPriority : progress.priority(),
                progress == null ? isLastRepeatable : progress.isRepeatable(),
                account.totalBytes(),
                stalledMs());
    }

    private long stalledMs() {
        return isWaiting ? TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - progressNanos) : 0;
    }

    void close() {
        account.close();
        isWaiting = false;
    }
}
