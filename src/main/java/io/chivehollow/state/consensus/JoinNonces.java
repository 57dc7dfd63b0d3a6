package io.chivehollow.state.consensus;

import java.util.HashMap;
import java.util.Map;

import io.chivehollow.base.InstanceId;

/**
 * Nonces with which instances prove that they are alive under an incarnation, so that a delayed message of an earlier
 * incarnation has no effect.
 *
 * <p>Used by one thread at a time.
 */
final class JoinNonces {

    private final Map<InstanceId, JoinNonce> nonces = new HashMap<>();

    /**
     * Returns whether the member has returned the nonce that was issued to it. Stores {@code newNonce} for the member
     * if none was issued to this incarnation.
     */
    boolean confirmOrIssue(MemberId member, long nonce, long newNonce, long now) {
        JoinNonce issued = nonces.get(member.instance());
        if (issued != null && issued.member().equals(member)) {
            return issued.nonce() == nonce;
        }
        nonces.put(member.instance(), new JoinNonce(member, newNonce, now));
        return false;
    }

    /** Returns the nonce that was issued to the member. */
    long issued(MemberId member) {
        return nonces.get(member.instance()).nonce();
    }

    /** Returns the time at which the nonce was issued; the member runs since then at the latest. */
    long issuedNanos(MemberId member) {
        return nonces.get(member.instance()).issuedNanos();
    }

    private record JoinNonce(MemberId member, long nonce, long issuedNanos) {}
}
