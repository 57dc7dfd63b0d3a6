package io.chivehollow.metrics;

import java.util.Locale;

/**
 * Class of a request, by its priority or as a plain call; a label of its metrics.
 *
 * <p>Immutable and thread-safe.
 */
public enum RequestClass {
    INTERACTIVE,
    BATCH,
    PLAIN;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
