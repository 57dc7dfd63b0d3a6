package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.wire.PeerMessage;

/**
 * Collects the outgoing messages of a member, separated by whether they have to wait for the next sync.
 *
 * <p>Used by one thread at a time.
 */
final class Outbox {

    private final MemberId self;
    private final List<OutgoingMessage> beforeSync = new ArrayList<>();
    private final List<OutgoingMessage> afterSync = new ArrayList<>();

    Outbox(MemberId self) {
        this.self = self;
    }

    PeerMessage.Builder header(long term) {
        return PeerMessage.newBuilder()
                .setFrom(self.instance().value())
                .setFromIncarnation(self.incarnation())
                .setTerm(term);
    }

    /** Adds a message that does not depend on the sync of the last writes. */
    void sendBeforeSync(MemberId to, PeerMessage.Builder message) {
        beforeSync.add(addressed(to, message));
    }

    /** Adds a message that does not depend on a sync and that any incarnation of the instance may receive. */
    void sendBeforeSync(InstanceId to, PeerMessage.Builder message) {
        beforeSync.add(new OutgoingMessage(to, message.build()));
    }

    /** Adds a message that must be sent only after the last writes are synced. */
    void sendAfterSync(MemberId to, PeerMessage.Builder message) {
        afterSync.add(addressed(to, message));
    }

    List<OutgoingMessage> beforeSync() {
        return beforeSync;
    }

    List<OutgoingMessage> takeBeforeSync() {
        return drain(beforeSync);
    }

    List<OutgoingMessage> takeAfterSync() {
        return drain(afterSync);
    }

    private static OutgoingMessage addressed(MemberId to, PeerMessage.Builder message) {
        return new OutgoingMessage(
                to.instance(), message.setToIncarnation(to.incarnation()).build());
    }

    private static List<OutgoingMessage> drain(List<OutgoingMessage> source) {
        List<OutgoingMessage> taken = List.copyOf(source);
        source.clear();
        return taken;
    }
}
