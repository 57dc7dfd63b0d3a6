package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.coordination.forwarding.pressure.HeldRequest;
import io.chivehollow.coordination.forwarding.pressure.HeldRequest.Stage;
import io.chivehollow.protocol.wire.RepeatRule;

/**
 * How far one request has come, and what the process holds for it beside its body.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
public final class RequestProgress {

    private final RunStage run;
    private final OpenAttempt openAttempt;
    private int priority = HeldRequest.UNKNOWN_PRIORITY;
    private boolean isRepeatable;

    RequestProgress(RunStage run, OpenAttempt openAttempt) {
        this.run = run;
        this.openAttempt = openAttempt;
    }

    void onAdmitted(Admission.AdmittedRequest admitted) {
        priority = admitted.priority();
        isRepeatable = admitted.route().getRepeat() != RepeatRule.AT_MOST_ONCE;
    }

    /** Returns the stage of a request whose response is not complete. */
    public Stage stage() {
        if (run.relay().hasStarted()) {
            return Stage.RESPONDING;
        }
        return run.isRunPossible() ? Stage.RUNNING : Stage.WAITING;
    }

    /** Returns the priority of the request; 0 is the most urgent. */
    public int priority() {
        return priority;
    }

    /** Returns whether the request may run more than once. */
    public boolean isRepeatable() {
        return isRepeatable;
    }

    /** Returns the bytes of the request that a backend server has not taken yet. */
    public long serverBytes() {
        return openAttempt.pendingBytes();
    }

    /** Returns the bytes of the response that were received and have not been passed on. */
    public long responseBytes() {
        return run.relay().heldBytes();
    }
}
