package io.chivehollow.base;

/**
 * Identifies a backend server.
 *
 * <p>Immutable and thread-safe. The value is never blank.
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

    public BackendServerId {
        Identifiers.checkIdentifier("BackendServerId", value);
    }

    public static BackendServerId of(String value) {
        return new BackendServerId(value);
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
