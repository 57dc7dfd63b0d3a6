package io.chivehollow.state.consensus;

import java.util.Objects;
import java.util.Optional;

import io.chivehollow.state.consensus.ReplicatedLog.Status;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Logs the changes of the group and of its leader that a member observes.
 *
 * <p>Used by one thread at a time.
 */
final class MemberLog {

    private static final Logger LOG = Logger.getLogger(MemberLog.class);

    private @Nullable Members loggedGroup;
    private @Nullable Status loggedStatus;

    /** Logs what has changed since the last call. */
    void update(MemberView view) {
        Members group = view.group();
        if (group != null && !group.equals(loggedGroup)) {
            LOG.infof(
                    "Replica group: voters %s, learners %s, anchor %s, evicted %s",
                    group.voters(), group.learners(), name(group.anchor()), name(group.evicted()));
        }
        loggedGroup = group;
        Status status = view.status();
        if (loggedStatus == null || !Objects.equals(status.leader(), loggedStatus.leader())) {
            LOG.infof(
                    "Leader of the replica group in term %d: %s",
                    status.term(), status.leader().map(Object::toString).orElse("unknown"));
        }
        loggedStatus = status;
    }

    private static String name(Optional<MemberId> member) {
        return member.map(MemberId::toString).orElse("none");
    }
}
