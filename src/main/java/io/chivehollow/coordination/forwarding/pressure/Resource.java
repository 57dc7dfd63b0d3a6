package io.chivehollow.coordination.forwarding.pressure;

import java.util.Locale;

/**
 * A resource of the process that new requests use up. Memory is not one of them, because those that hold much of it are
 * let go instead.
 */
public enum Resource {
    /** Time of the event loop, which stands for the processor. */
    PROCESSOR,
    LINK,
    DESCRIPTORS;

    /** Returns the name in logs and metrics. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
