package io.chivehollow.coordination.forwarding.pressure;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Counts the bytes that a process holds for callers and backend servers, and compares them with a common bound.
 *
 * <p>Invariant: the total is the sum of what the open accounts state. An account states its present level and not its
 * changes, so that no byte is added or subtracted twice. Not thread-safe.
 */
public final class HeldBytes {

    /** What the bytes are held for. */
    public enum Kind {
        /** Bodies of requests, until their response is complete. */
        REQUEST,
        /** Requests that a backend server has not taken yet. */
        SERVER,
        /** Responses that a caller has not taken yet. */
        RESPONSE
    }

    /** How much of the bound is in use. */
    public enum Level {
        /** A slow caller may leave much of its response with the process. */
        AMPLE,
        /** A slow caller may leave little. */
        LIMITED,
        /** Callers may send no further parts of bodies. */
        SCARCE,
        /** Requests have to be let go. */
        EXCEEDED
    }

    private static final int KINDS = Kind.values().length;

    /** Above this share of the bound, slow callers may leave little of their responses. */
    private static final double AMPLE_SHARE = 0.25;

    /** Above this share, no further parts of bodies are read; the rest is for what has been received already. */
    private static final double SOFT_SHARE = 0.75;

    /** The rest is for the bytes of the one event that is being processed when the share is exceeded. */
    private static final double HARD_SHARE = 0.9;

    private final long limitBytes;
    private final long[] heldBytes = new long[KINDS];
    private long totalBytes;
    private long maxTotalBytes;

    private HeldBytes(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns an instance with the given bound in bytes, which must be positive. */
    public static HeldBytes create(long limitBytes) {
        checkArgument(limitBytes > 0, "The bound must be positive, but is %s", limitBytes);
        return new HeldBytes(limitBytes);
    }

    /** Opens an account, which holds nothing yet. */
    public Account open() {
        return new Account();
    }

    /** Returns how much of the bound is in use. */
    public Level level() {
        if (totalBytes > limitBytes * HARD_SHARE) {
            return Level.EXCEEDED;
        }
        if (totalBytes > limitBytes * SOFT_SHARE) {
            return Level.SCARCE;
        }
        return totalBytes > limitBytes * AMPLE_SHARE ? Level.LIMITED : Level.AMPLE;
    }

    /** Returns whether a request that announces the given number of bytes fits into the bound. */
    public boolean hasRoomFor(long bytes) {
        return totalBytes + bytes <= limitBytes * HARD_SHARE;
    }

    /** Returns the bound in bytes. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns the total in bytes. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns the largest total in bytes. */
    public long maxTotalBytes() {
        return maxTotalBytes;
    }

    /** Returns the bytes of one kind. */
    public long bytes(Kind kind) {
        return heldBytes[kind.ordinal()];
    }

    /**
     * The bytes that one request holds.
     *
     * <p>Invariant: a closed account holds nothing and stays closed. Not thread-safe.
     */
    public final class Account {

        private final long[] ownBytes = new long[KINDS];
        private long ownTotalBytes;
        private boolean isClosed;

        private Account() {}

        /** Sets the present number of bytes of one kind; a closed account ignores it. */
        public void set(Kind kind, long bytes) {
            checkArgument(bytes >= 0, "%s bytes of the kind %s", bytes, kind);
            if (isClosed) {
                return;
            }
            int index = kind.ordinal();
            long change = bytes - ownBytes[index];
            if (change == 0) {
                return;
            }
            ownBytes[index] = bytes;
            ownTotalBytes += change;
            heldBytes[index] += change;
            totalBytes += change;
            maxTotalBytes = Math.max(maxTotalBytes, totalBytes);
        }

        /** Returns the bytes of one kind. */
        public long bytes(Kind kind) {
            return ownBytes[kind.ordinal()];
        }

        /** Returns the bytes of all kinds. */
        public long totalBytes() {
            return ownTotalBytes;
        }

        /** Subtracts what the account holds. */
        public void close() {
            for (Kind kind : Kind.values()) {
                set(kind, 0);
            }
            isClosed = true;
        }
    }
}
