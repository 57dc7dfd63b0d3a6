package io.chivehollow.base;

/**
 * Identifies one request of a caller; all processes that process the request use the same id.
 *
 * <p>Immutable and thread-safe. The value is never blank.
 */
public record RequestId(String value) implements Comparable<RequestId> {

    public RequestId {
        Identifiers.checkIdentifier("RequestId", value);
    }

    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
