package io.chivehollow.base;

/**
 * Identifies a model that callers can request.
 *
 * <p>Immutable and thread-safe. The value is never blank.
 */
public record ModelId(String value) implements Comparable<ModelId> {

    public ModelId {
        Identifiers.checkIdentifier("ModelId", value);
    }

    public static ModelId of(String value) {
        return new ModelId(value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
