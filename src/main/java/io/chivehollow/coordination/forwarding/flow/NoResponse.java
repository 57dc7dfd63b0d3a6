package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;

/**
 * The relay that is in use until the first response arrives.
 *
 * <p>Stateless and thread-safe.
 */
enum NoResponse implements ResponseRelay {
    INSTANCE;

    @Override
    public boolean data(ByteBuf data) {
        data.release();
        return true;
    }

    @Override
    public boolean isComplete(boolean isEndStated) {
        return false;
    }

    @Override
    public void end() {
        throw new IllegalStateException("No response has arrived that could be ended");
    }

    @Override
    public void onInterrupted() {
        // Nothing is buffered.
    }

    @Override
    public boolean hasStarted() {
        return false;
    }

    @Override
    public boolean canResume() {
        return true;
    }

    @Override
    public OptionalLong lastEventId() {
        return OptionalLong.empty();
    }

    @Override
    public long heldBytes() {
        return 0;
    }

    @Override
    public void release() {
        // Nothing is buffered.
    }
}
