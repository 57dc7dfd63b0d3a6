package io.chivehollow.protocol;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether a server that has ended its direction of a connection had read the whole request.
 *
 * <p>A written request may still be in the buffers of both systems. The server's system resets a connection that is
 * closed while bytes are unread, or that receives bytes after it was closed. If the end of the response arrives before
 * the reset, reading does not report it; only a write fails. The check therefore writes an empty line, which a server
 * must ignore there (RFC 9112, section 2.2) and a closed connection never passes on.
 *
 * <p>A server that ends only its direction shows nothing until it closes the connection. Servers do so at once, unless
 * they have left a part of the request unread and want to avoid the reset. If a body is too long for the buffers to be
 * likely to hold all of it, the connection must therefore also be closed soon.
 *
 * <p>The connection must allow one direction to be closed, and limit its send buffer to {@link #SEND_BUFFER_BYTES}, so
 * that a write is not complete long before the server can read it. Used on the event loop of the connection.
 */
public final class RequestReadCheck {

    /** 0.1 s at 10 Mbit/s; allows 250 Mbit/s over a path of 4 ms. */
    public static final int SEND_BUFFER_BYTES = 128 << 10;

    /** Time in ms in which a reset follows the end of a response; a round trip takes 2 to 4 ms. */
    private static final int RESET_MS = 20;

    /** Bodies above this size do not fit into the receive buffer that a connection has at first. */
    private static final int LONG_BODY_BYTES = 64 << 10;

    /** Time in ms in which the rest of a long body leaves the send buffer, at 5 Mbit/s. */
    private static final int LONG_BODY_RESET_MS = 400;

    /** Time in ms in which a server closes a connection after it has ended its direction. */
    private static final int CLOSE_MS = 200;

    private static final byte[] EMPTY_LINE = {'\r', '\n'};

    private int bodyBytes;
    private long writtenNanos;
    private boolean isWritten;

    private RequestReadCheck() {}

    /** Returns a check of a request that is not written yet. */
    public static RequestReadCheck create() {
        return new RequestReadCheck();
    }

    /** Starts with the write of a request whose body has the given size. */
    public void onWrite(ChannelFuture writing, int requestBodyBytes) {
        bodyBytes = requestBodyBytes;
        writing.addListener(written -> {
            isWritten = written.isSuccess();
            writtenNanos = System.nanoTime();
        });
    }

    /** Returns whether the request was written to the transport; a server cannot have read it before. */
    public boolean isWritten() {
        return isWritten;
    }

    /**
     * Checks the connection after the server has ended its direction.
     *
     * @param receiver called once, with false if the server has not read the request or its closing is not shown in
     *     time; not called if the event loop ends
     */
    public void check(@Nullable Channel channel, Consumer<Boolean> receiver) {
        if (channel == null || !isWritten) {
            receiver.accept(false);
            return;
        }
        long sinceWrittenMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenNanos);
        long waitMs = isLong() ? Math.max(RESET_MS, LONG_BODY_RESET_MS - sinceWrittenMs) : RESET_MS;
        channel.eventLoop().schedule(() -> checkReset(channel, receiver), waitMs, TimeUnit.MILLISECONDS);
    }

    private boolean isLong() {
        return bodyBytes > LONG_BODY_BYTES;
    }

    private void checkReset(Channel channel, Consumer<Boolean> receiver) {
        if (!channel.isActive()) {
            receiver.accept(false);
            return;
        }
        writeEmptyLine(channel, hasFailed -> {
            if (hasFailed || !isLong()) {
                receiver.accept(!hasFailed);
            } else {
                awaitClose(channel, CLOSE_MS / RESET_MS, receiver);
            }
        });
    }

    /** Waits until the server's system resets the connection because of the empty line, as only a closed one does. */
    private void awaitClose(Channel channel, int remainingChecks, Consumer<Boolean> receiver) {
        channel.eventLoop()
                .schedule(() -> checkClose(channel, remainingChecks, receiver), RESET_MS, TimeUnit.MILLISECONDS);
    }

    private void checkClose(Channel channel, int remainingChecks, Consumer<Boolean> receiver) {
        if (!channel.isActive()) {
            // It was closed by this process.
            receiver.accept(false);
            return;
        }
        writeEmptyLine(channel, hasFailed -> {
            if (hasFailed || remainingChecks <= 1) {
                receiver.accept(hasFailed);
            } else {
                awaitClose(channel, remainingChecks - 1, receiver);
            }
        });
    }

    /** Writes below the encoder, which expects a request. */
    private static void writeEmptyLine(Channel channel, Consumer<Boolean> failure) {
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
                .addListener(written -> failure.accept(!written.isSuccess()));
    }
}
