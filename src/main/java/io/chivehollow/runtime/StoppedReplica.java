package io.chivehollow.runtime;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.replica.ReplicaDirectory;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.StatusReport;
import io.chivehollow.transport.CallHandler;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;

/**
 * Handles calls to a replica whose storage has failed: reports the state, and refuses everything that needs the state
 * of the group.
 *
 * <p>Immutable and thread-safe.
 */
final class StoppedReplica implements CallHandler {

    /** The state in status reports, beside the roles of a running member. */
    static final String STATE = "storage_failed";

    private final InstanceId instance;
    private final ReplicaDirectory directory;

    StoppedReplica(InstanceId instance, ReplicaDirectory directory) {
        this.instance = instance;
        this.directory = directory;
    }

    @Override
    public ServerCallListener onCall(ServerCall call, Frame first) {
        switch (first.getBodyCase()) {
            case MEMBERS_QUERY -> {
                return directory.onCall(call, first);
            }
            case STATUS_QUERY -> call.finish(Frame.newBuilder()
                    .setStatusReport(StatusReport.newBuilder()
                            .setInstance(instance.value())
                            .setState(STATE)));
            default -> call.fail(ErrorCode.NOT_LEADER, "The disk of this replica refuses writes", true);
        }
        return ServerCallListener.none();
    }
}
