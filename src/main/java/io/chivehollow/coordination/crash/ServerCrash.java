package io.chivehollow.coordination.crash;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;

/**
 * A backend server that ended while it began the answer to a prompt.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key identifies the crash
 * @param suspectParts shared parts of the prompt with which no answer has begun since
 * @param witness instance that sent the request
 * @param timeNanos monotonic time in nanoseconds at which the server ended
 */
record ServerCrash(Key key, ImmutableSet<String> suspectParts, String witness, long timeNanos) {

    /** Returns this crash with the suspect parts that both copies have, at the earlier of their times. */
    ServerCrash merge(ServerCrash other) {
        return new ServerCrash(
                key,
                Sets.intersection(suspectParts, other.suspectParts).immutableCopy(),
                witness,
                timeNanos - other.timeNanos <= 0 ? timeNanos : other.timeNanos);
    }

    /** Returns this crash without the given parts among the suspect ones. */
    ServerCrash without(Iterable<String> parts) {
        ImmutableSet<String> cleared = ImmutableSet.copyOf(parts);
        return new ServerCrash(key, Sets.difference(suspectParts, cleared).immutableCopy(), witness, timeNanos);
    }

    /**
     * Identifies a crash.
     *
     * @param backendServer id of the run of the backend server
     * @param prompt id of the part that belongs to the prompt alone
     */
    record Key(String backendServer, String prompt) {}
}
