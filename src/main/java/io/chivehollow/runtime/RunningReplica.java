package io.chivehollow.runtime;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.replica.ReplicaService;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.state.consensus.ConsensusMember;
import io.chivehollow.state.consensus.ReplicatedLog;
import io.chivehollow.transport.CallHandler;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;

/**
 * A member of the replica group and the service that works on its state, from the opening of the data folder until it
 * is closed or its disk refuses a write.
 *
 * <p>Thread-safe. Never used again after its storage has failed, because its memory may be ahead of the disk.
 */
final class RunningReplica implements CallHandler, AutoCloseable {

    private final ConsensusMember member;
    private final ReplicaService service;
    private final CompletableFuture<Throwable> failure;

    private RunningReplica(ConsensusMember member, ReplicaService service, CompletableFuture<Throwable> failure) {
        this.member = member;
        this.service = service;
        this.failure = failure;
    }

    static RunningReplica of(ConsensusMember member, ReplicaService service, CompletableFuture<Throwable> failure) {
        return new RunningReplica(member, service, failure);
    }

    /** Completes with the error after which the member has stopped. */
    CompletableFuture<Throwable> failure() {
        return failure;
    }

    boolean hasFailed() {
        return failure.isDone();
    }

    long maxStalenessMs() {
        return member.maxStalenessMs();
    }

    boolean holdsLease() {
        return member.holdsLease();
    }

    List<InstanceId> members() {
        return member.members();
    }

    ReplicatedLog.Status status() {
        return member.status();
    }

    @Override
    public ServerCallListener onCall(ServerCall call, Frame first) {
        return service.onCall(call, first);
    }

    /** States to the group that this replica is about to stop; it still serves. */
    void beginLeaving() {
        member.beginLeaving();
    }

    /** Waits until the group can do without this replica as far as possible; the replica must still get messages. */
    void awaitLeft() {
        member.awaitLeft();
    }

    /** Stops the service and the member; returns when the data folder is released. */
    @Override
    public void close() {
        service.close();
        member.close();
    }
}
