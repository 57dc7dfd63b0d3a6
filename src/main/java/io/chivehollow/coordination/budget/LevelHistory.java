package io.chivehollow.coordination.budget;

import java.util.concurrent.TimeUnit;

/**
 * The highest level of a bucket in each second of the last ten minutes.
 *
 * <p>Not thread-safe.
 */
final class LevelHistory {

    static final int SLOTS = 600;
    private static final long SLOT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long[] highest = new long[SLOTS];
    private final long startNanos;
    private long lastSlot;

    /** Starts a history that does not cover earlier times. */
    LevelHistory(long startNanos, long level) {
        this.startNanos = startNanos;
        highest[0] = level;
    }

    /** Records that the level was at most the given one since the last recorded time. */
    void record(long nowNanos, long level) {
        long slot = slotOf(nowNanos);
        raise(lastSlot, level);
        // After a gap longer than the history every slot is overwritten once.
        long first = Math.max(lastSlot + 1, slot - SLOTS + 1);
        for (long i = first; i <= slot; i++) {
            highest[(int) (i % SLOTS)] = level;
        }
        lastSlot = Math.max(lastSlot, slot);
    }

    private void raise(long slot, long level) {
        int position = (int) (slot % SLOTS);
        highest[position] = Math.max(highest[position], level);
    }

    /** Returns whether the history covers the given time. */
    boolean covers(long nanos) {
        return nanos - startNanos >= 0 && slotOf(nanos) > lastSlot - SLOTS;
    }

    /** Returns the highest level since the given time, which the history must cover. */
    long highestSince(long nanos) {
        long result = Long.MIN_VALUE;
        for (long i = slotOf(nanos); i <= lastSlot; i++) {
            result = Math.max(result, highest[(int) (i % SLOTS)]);
        }
        return result;
    }

    /** Raises the level in all slots since the given time, because tokens charged then have been credited. */
    void addSince(long nanos, long tokens) {
        for (long i = slotOf(nanos); i <= lastSlot; i++) {
            highest[(int) (i % SLOTS)] += tokens;
        }
    }

    private long slotOf(long nanos) {
        return (nanos - startNanos) / SLOT_NANOS;
    }
}
