package io.chivehollow.coordination.forwarding.pressure;

import java.util.Locale;

/** A resource of the process that can be used up. */
public enum Resource {
    /** Time of the event loop, which stands for the processor. */
    PROCESSOR,
    MEMORY,
    LINK,
    DESCRIPTORS;

    /** Returns the name in logs and metrics. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
