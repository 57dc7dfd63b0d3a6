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
 * The protocol by which an instance joins a group: it either forms a new group with all other initial members or joins
 * an existing group as a learner.
 *
 * <p>Used by one thread at a time.
 */
final class JoinProtocol {

    private static final int JOIN_INTERVAL_MS = 250;

    private final NodeConfig config;
    private final MemberId self;

    /** Incarnations of initial members that have reported an empty log. */
    private final Map<InstanceId, Long> emptyIncarnations = new HashMap<>();

    /** Members that another instance reported; the group may have changed since this instance was a member. */
    private final Set<InstanceId> reportedMembers = new HashSet<>();

    private long lastSentNanos = ReplicationProgress.NEVER;

    /** Nonces by the instance that has issued them. */
    private final Map<InstanceId, Long> nonces = new HashMap<>();

    JoinProtocol(NodeConfig config, MemberId self) {
        this.config = config;
        this.self = self;
    }

    /** Returns whether the sender may be added to the members or may replace another incarnation of its instance. */
    boolean isAdmissible(MemberId from, Members members) {
        if (from.instance().equals(self.instance())) {
            return false;
        }
        return members.find(from.instance())
                .map(member -> !member.equals(from))
                .orElse(config.policy().isAutomatic() || members.isAdmitted(from.instance()));
    }

    /** Returns whether a join request is due and, if so, records the current time as its send time. */
    boolean pollDue(long now) {
        boolean isDue = now - lastSentNanos >= TimeUnit.MILLISECONDS.toNanos(JOIN_INTERVAL_MS);
        if (isDue) {
            lastSentNanos = now;
        }
        return isDue;
    }

    Set<InstanceId> targets(Members members) {
        Set<InstanceId> targets = new HashSet<>(config.initialMembers());
        targets.addAll(config.policy().contacts().get());
        targets.addAll(reportedMembers);
        members.all().forEach(member -> targets.add(member.instance()));
        targets.remove(self.instance());
        return targets;
    }

    Join newRequest(InstanceId target, boolean isEmpty) {
        return Join.newBuilder()
                .setEmpty(isEmpty)
                .setNonce(nonces.getOrDefault(target, 0L))
                .setFounder(isEmpty && config.policy().canFormGroup())
                .build();
    }

    void onReply(MemberId from, JoinReply reply) {
        if (reply.getNonce() != 0) {
            nonces.put(from.instance(), reply.getNonce());
        }
        if (reply.getMembersCount() > 0) {
            reportedMembers.clear();
            reply.getMembersList().forEach(member -> reportedMembers.add(InstanceId.of(member)));
        }
        if (reply.getEmpty()) {
            emptyIncarnations.put(from.instance(), from.incarnation());
        } else {
            emptyIncarnations.remove(from.instance());
        }
    }

    /**
     * Returns the members of a new group if this is the first of the initial members and all others have reported an
     * empty log; otherwise null.
     *
     * <p>A member that has lost its disk cannot form a second group, because the logs of the others are not empty.
     */
    @Nullable
    Members tryFormGroup() {
        if (!config.policy().canFormGroup()) {
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
            Long incarnation = emptyIncarnations.get(instance);
            if (incarnation != null && !instance.equals(first)) {
                voters.add(new MemberId(instance, incarnation));
            }
        }
        return voters.size() == initial.size() ? Members.ofVoters(voters) : null;
    }
}
