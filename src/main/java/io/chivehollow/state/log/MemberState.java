package io.chivehollow.state.log;

/**
 * The durable state of a member other than its log: its identity, term and vote.
 *
 * <p>Immutable and thread-safe.
 *
 * @param member id of the member to which the data folder belongs
 * @param incarnation random id that was generated when the folder was created, or when synced data may have been lost
 * @param term current term
 * @param vote member that received the vote in this term, or an empty string
 */
public record MemberState(String member, long incarnation, long term, String vote) {

    /** Returns this state with another term and vote. */
    public MemberState withVote(long newTerm, String newVote) {
        return new MemberState(member, incarnation, newTerm, newVote);
    }
}
