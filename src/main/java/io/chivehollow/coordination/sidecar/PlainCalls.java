package io.chivehollow.coordination.sidecar;

import java.util.Optional;

import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.transport.ServerCall;

/**
 * Queue of the calls to an ordinary service, which is a backend server that runs no language model.
 *
 * <p>Used on the sidecar's event loop. Invariant: a non-idempotent call is forwarded only if {@link AttemptRegistry}
 * has accepted it. This check comes before all checks that refuse a call as "not run", because an earlier attempt of a
 * call that the registry refuses may have run.
 */
final class PlainCalls {

    /** Bounds the memory of the queue; far more calls than can be served before their deadlines. */
    static final int MAX_QUEUED = 1_000;

    private final SidecarContext context;
    private final AttemptRegistry attempts = new AttemptRegistry();
    private final CallQueue<PlainServiceCall> queue;

    PlainCalls(SidecarContext context) {
        this.context = context;
        this.queue = new CallQueue<>(context.admission());
    }

    PlainServiceCall open(ServerCall call, io.chivehollow.protocol.wire.PlainCall message) {
        PlainServiceCall plain = new PlainServiceCall(context, this, call, message);
        context.runFirstTask(call, plain::begin);
        return plain;
    }

    AttemptRegistry attempts() {
        return attempts;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int queuedCount() {
        return queue.queuedCount();
    }

    int queuedCount(TeamId team) {
        return queue.queuedCount(team);
    }

    void enqueue(PlainServiceCall call, String team) {
        queue.add(call);
        queue.enqueue(call, team, Priority.INTERACTIVE, 1);
        advance();
    }

    void remove(PlainServiceCall call) {
        queue.remove(call);
    }

    /** Forwards as many queued calls as the service has free slots. */
    void advance() {
        while (context.capacity().hasFreeSlot()) {
            Optional<PlainServiceCall> next = queue.poll();
            if (next.isEmpty()) {
                return;
            }
            next.get().forward();
        }
    }

    /** Refuses queued calls that may no longer be forwarded; called periodically. */
    void sweep() {
        queue.openCalls().forEach(PlainServiceCall::sweep);
    }
}
