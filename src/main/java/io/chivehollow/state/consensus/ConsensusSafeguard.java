package io.chivehollow.state.consensus;

/** Safeguards of the protocol. Tests disable them one by one, to show that the checker detects the violations. */
enum ConsensusSafeguard {
    /** A leader serves requests only while its lease is valid. */
    LEASE,
    /** A member does not vote within the vote hold time after a leader's message or after its own start. */
    VOTE_HOLD,
    /** Entries are synced to disk before they are acknowledged. */
    SYNC_BEFORE_RESPONSE,
    /** Votes and acknowledgements count for a single incarnation of an instance. */
    INCARNATION,
    /** A member votes only for candidates whose log is at least as up to date as its own. */
    ELECTION_RESTRICTION,
    /** A leader commits entries of earlier terms only together with an entry of its current term. */
    CURRENT_TERM_COMMIT,
    /** The removal of a voter is refused if fewer of the remaining voters than a quorum respond. */
    REMOVAL_CHECK
}
