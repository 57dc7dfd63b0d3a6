package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;

/**
 * The relay before any answer.
 *
 * <p>Stateless and thread-safe.
 */
enum NoAnswer implements AnswerRelay {
    INSTANCE;

    @Override
    public void data(ByteBuf data) {
        data.release();
    }

    @Override
    public boolean isWhole() {
        return false;
    }

    @Override
    public void end() {
        throw new IllegalStateException("There is no answer to end");
    }

    @Override
    public void onBroken() {
        // Nothing was kept.
    }

    @Override
    public boolean hasStarted() {
        return false;
    }

    @Override
    public boolean canGoOn() {
        return true;
    }

    @Override
    public OptionalLong lastEventId() {
        return OptionalLong.empty();
    }

    @Override
    public void release() {
        // Nothing was kept.
    }
}
