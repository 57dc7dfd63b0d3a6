package io.chivehollow.coordination.forwarding.backend;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/**
 * Collects a small body.
 *
 * <p>Not thread-safe. Data beyond the limit is dropped, which makes the body unreadable.
 */
public final class BodyCollector {

    /** Answers to the router's own calls, and to a prefill, have a few short fields. */
    private static final int MAX_BYTES = 16_384;

    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

    /** Adds a part of the body, which is released. */
    public void add(ByteBuf data) {
        if (collected.size() + data.readableBytes() <= MAX_BYTES) {
            collected.writeBytes(ByteBufUtil.getBytes(data));
        }
        data.release();
    }

    /** Returns what has been collected. */
    public byte[] bytes() {
        return collected.toByteArray();
    }
}
