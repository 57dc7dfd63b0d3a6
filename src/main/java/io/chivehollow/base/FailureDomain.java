package io.chivehollow.base;

/**
 * Identifies a failure domain, which is a set of instances that may fail together.
 *
 * <p>Immutable and thread-safe. The value is never blank.
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    public FailureDomain {
        Identifiers.checkIdentifier("FailureDomain", value);
    }

    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
