package io.chivehollow.runtime;

import java.util.concurrent.atomic.AtomicReference;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.state.consensus.ConsensusMember;
import io.chivehollow.transport.CallHandler;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;

/**
 * Passes consensus messages of other replicas to the local member of the group.
 *
 * <p>Thread-safe. Calls that arrive before {@link #setMember} are refused.
 */
final class ConsensusHandler implements CallHandler {

    private final AtomicReference<ConsensusMember> member = new AtomicReference<>();

    void setMember(ConsensusMember startedMember) {
        member.set(startedMember);
    }

    @Override
    public ServerCallListener onCall(ServerCall call, Frame first) {
        ConsensusMember current = member.get();
        if (current == null) {
            call.fail(ErrorCode.NOT_LEADER, "The replica is starting", true);
            return ServerCallListener.none();
        }
        receive(current, call, first);
        return new ServerCallListener() {
            @Override
            public void onFrame(Frame frame) {
                receive(current, call, frame);
            }
        };
    }

    private static void receive(ConsensusMember current, ServerCall call, Frame frame) {
        if (frame.hasConsensus()) {
            current.receive(call.peer(), frame.getConsensus().getPayload().toByteArray());
        }
    }
}
