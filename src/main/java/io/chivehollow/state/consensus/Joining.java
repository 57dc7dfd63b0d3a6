package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.wire.Join;
import io.chivehollow.state.consensus.wire.JoinReply;
import org.jspecify.annotations.Nullable;

/**
 * How an instance gets into a group: into a new one with all other initial members, or into an existing one as a
 * learner.
 *
 * <p>Used by one thread at a time.
 */
final class Joining {

    private static final int PERIOD_MS = 250;

    private final NodeConfig config;
    private final MemberId self;

    /** Incarnations of initial members that have reported an empty log. */
    private final Map<InstanceId, Long> emptyMembers = new HashMap<>();

    /** Members that others have named; the group may have changed since this instance was in it. */
    private final Set<InstanceId> learned = new HashSet<>();

    private long lastSentNanos = Progress.NEVER;
    private long nonce;

    Joining(NodeConfig config, MemberId self) {
        this.config = config;
        this.self = self;
    }

    /** Returns whether the sender should be added to the members or replace another incarnation of its instance. */
    boolean isAdmissible(MemberId from, Members members) {
        if (from.instance().equals(self.instance())) {
            return false;
        }
        return members.find(from.instance())
                .map(known -> !known.equals(from))
                .orElse(config.policy().admitsAll() || members.isAdmitted(from.instance()));
    }

    /** Returns whether a request is due, and records the time if so. */
    boolean takeTurn(long now) {
        boolean isDue = now - lastSentNanos >= TimeUnit.MILLISECONDS.toNanos(PERIOD_MS);
        if (isDue) {
            lastSentNanos = now;
        }
        return isDue;
    }

    Set<InstanceId> targets(Members members) {
        Set<InstanceId> targets = new HashSet<>(config.initialMembers());
        targets.addAll(config.policy().contacts().get());
        targets.addAll(learned);
        members.all().forEach(member -> targets.add(member.instance()));
        targets.remove(self.instance());
        return targets;
    }

    Join request(boolean isEmpty) {
        return Join.newBuilder().setEmpty(isEmpty).setNonce(nonce).build();
    }

    void onReply(MemberId from, JoinReply reply) {
        if (reply.getNonce() != 0) {
            nonce = reply.getNonce();
        }
        if (reply.getMembersCount() > 0) {
            learned.clear();
            reply.getMembersList().forEach(member -> learned.add(InstanceId.of(member)));
        }
        if (reply.getEmpty()) {
            emptyMembers.put(from.instance(), from.incarnation());
        } else {
            emptyMembers.remove(from.instance());
        }
    }

    /**
     * Returns the members of a new group if this is the first of the initial members and all others have said that
     * their logs are empty; otherwise null.
     *
     * <p>A member that has lost its disk cannot form a second group, because the others are not empty.
     */
    @Nullable
    Members formGroup() {
        if (!config.policy().formsGroup()) {
            return null;
        }
        List<InstanceId> initial = config.initialMembers();
        InstanceId first = initial.stream().min(InstanceId::compareTo).orElse(null);
        if (!self.instance().equals(first)) {
            return null;
        }
        List<MemberId> voters = new ArrayList<>();
        voters.add(self);
        for (InstanceId instance : initial) {
            Long incarnation = emptyMembers.get(instance);
            if (incarnation != null && !instance.equals(first)) {
                voters.add(new MemberId(instance, incarnation));
            }
        }
        return voters.size() == initial.size() ? Members.ofVoters(voters) : null;
    }
}
