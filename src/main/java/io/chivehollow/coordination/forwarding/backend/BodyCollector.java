package io.chivehollow.coordination.forwarding.backend;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/**
 * Collects the body of a small response.
 *
 * <p>Invariant: at most the size limit is kept in memory. Not thread-safe.
 */
public final class BodyCollector {

    /** Responses to the router's own calls and to a prefill have a few short fields. */
    private static final int MAX_BYTES = 16_384;

    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

    /**
     * Adds a part of the body; the buffer is released.
     *
     * @return false if the body exceeds the size limit, so that it cannot be read
     */
    public boolean add(ByteBuf data) {
        boolean isWithinLimit = collected.size() + data.readableBytes() <= MAX_BYTES;
        if (isWithinLimit) {
            collected.writeBytes(ByteBufUtil.getBytes(data));
        }
        data.release();
        return isWithinLimit;
    }

    /** Returns the collected bytes. */
    public byte[] bytes() {
        return collected.toByteArray();
    }
}
