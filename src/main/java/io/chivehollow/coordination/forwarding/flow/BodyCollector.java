package io.chivehollow.coordination.forwarding.flow;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/**
 * Collects a small body.
 *
 * <p>Not thread-safe. Data beyond the limit is dropped, which makes the body unreadable.
 */
final class BodyCollector {

    /** The answer to a prefill has three short fields. */
    private static final int MAX_BYTES = 16_384;

    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

    void add(ByteBuf data) {
        if (collected.size() + data.readableBytes() <= MAX_BYTES) {
            collected.writeBytes(ByteBufUtil.getBytes(data));
        }
        data.release();
    }

    byte[] bytes() {
        return collected.toByteArray();
    }
}
