package io.chivehollow.coordination.config;

import java.util.Optional;

/**
 * A process's copy of the released state.
 *
 * <p>Invariant: the version of {@link #current} never decreases. Implementations are thread-safe.
 */
public interface ConfigView {

    /** Returns the latest received configuration, or empty before the first response of a replica. */
    Optional<Configuration> current();

    /** Returns whether the copy is provably at most 2.5 s old. */
    boolean isFresh();
}
