package io.chivehollow.state.log;

/**
 * A snapshot of the state machine and of the membership after all entries up to an index.
 *
 * <p>Immutable and thread-safe, provided that the arrays are not modified.
 *
 * @param index index of the last entry that the state includes
 * @param term term of that entry
 * @param membership encoded membership of the group at that index
 * @param state encoded state of the state machine
 */
public record Snapshot(long index, long term, byte[] membership, byte[] state) {}
