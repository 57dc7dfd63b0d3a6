package io.chivehollow.base;

/**
 * Identifies an instance, which is one process of the system with its own address.
 *
 * <p>Immutable and thread-safe. The value is never blank.
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    public InstanceId {
        Identifiers.checkIdentifier("InstanceId", value);
    }

    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
