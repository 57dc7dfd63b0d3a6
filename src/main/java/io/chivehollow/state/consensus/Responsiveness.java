package io.chivehollow.state.consensus;

/** What a leader knows of whether another member replies. */
enum Responsiveness {
    /** The member has replied to this leader within the duration of a lease. */
    RESPONSIVE,

    /** The member has not replied to this leader yet, which has led for less than the duration of a lease. */
    UNKNOWN,

    /** The member has not replied within the duration of a lease. */
    SILENT
}
