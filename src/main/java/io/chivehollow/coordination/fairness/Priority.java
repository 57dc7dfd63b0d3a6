package io.chivehollow.coordination.fairness;

/**
 * The service class of a request.
 *
 * <p>Immutable and thread-safe.
 */
public enum Priority {
    /** A caller waits for the response; served before batch work. */
    INTERACTIVE,
    /** Tolerates delays; receives the capacity that interactive work leaves, and at least a guaranteed share. */
    BATCH
}
