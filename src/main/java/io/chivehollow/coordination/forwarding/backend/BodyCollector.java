package io.chivehollow.coordination.forwarding.backend;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/**
 * Collects the body of a small response.
 *
 * <p>Not thread-safe. Data beyond the size limit is discarded, which makes the body unreadable.
 */
public final class BodyCollector {

    /** Responses to the router's own calls and to a prefill have a few short fields. */
    private static final int MAX_BYTES = 16_384;

    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

    /** Adds a part of the body; the buffer is released. */
    public void add(ByteBuf data) {
        if (collected.size() + data.readableBytes() <= MAX_BYTES) {
            collected.writeBytes(ByteBufUtil.getBytes(data));
        }
        data.release();
    }

    /** Returns the collected bytes. */
    public byte[] bytes() {
        return collected.toByteArray();
    }
}
