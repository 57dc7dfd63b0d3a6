package io.chivehollow.state.machine;

import java.util.Optional;
import java.util.UUID;

/**
 * Identifies the idempotency record of a team's key.
 *
 * <p>Ids are ordered by creation time, because a UUID of version 7 starts with it. They are compact, because there may
 * be millions of them. Immutable and thread-safe.
 *
 * @param high upper half of the key's UUID
 * @param low lower half of the key's UUID
 * @param team team that the key belongs to
 */
record RecordId(long high, long low, String team) implements Comparable<RecordId> {

    static RecordId of(IdempotencyKey key, String team) {
        UUID uuid = UUID.fromString(key.text());
        return new RecordId(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits(), team.intern());
    }

    static Optional<RecordId> of(String team, String idempotencyKey) {
        return IdempotencyKey.parse(idempotencyKey).map(key -> of(key, team));
    }

    long creationMs() {
        return high >>> 16;
    }

    @Override
    public int compareTo(RecordId other) {
        int byHigh = Long.compareUnsigned(high, other.high);
        int byLow = Long.compareUnsigned(low, other.low);
        return byHigh != 0 ? byHigh : byLow != 0 ? byLow : team.compareTo(other.team);
    }
}
