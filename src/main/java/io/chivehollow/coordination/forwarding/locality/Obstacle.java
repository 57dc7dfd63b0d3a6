package io.chivehollow.coordination.forwarding.locality;

/** Why no request may leave for a failure domain. */
enum Obstacle {
    /** Requests may leave. */
    NONE,
    /** Several servers of the domain have failed since one of them responded last. */
    CUT_OFF,
    /** No server of the domain has responded recently, so that their load is not known. */
    OLD_FIGURES,
    /** The bytes that may leave are used up. */
    BUDGET_EXHAUSTED
}
