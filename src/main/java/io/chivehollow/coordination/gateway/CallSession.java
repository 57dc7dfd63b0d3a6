package io.chivehollow.coordination.gateway;

import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.protocol.wire.BeginCall;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.CallResult;
import io.chivehollow.protocol.wire.CloseSession;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.FinishCall;
import io.chivehollow.protocol.wire.OpenSession;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The gateway's session at the replicas, in which its non-idempotent calls are recorded.
 *
 * <p>Thread-safe. The session is opened by the first call. If the replicas have closed it because they considered this
 * instance failed, a new one is opened; records of the old session stay as the replicas recorded them.
 */
final class CallSession {

    private static final Logger LOG = Logger.getLogger(CallSession.class);

    /** Delay before a command that could not be committed is submitted again. */
    private static final int RETRY_DELAY_MS = 1_000;

    /**
     * The retries cover 5 minutes, which exceeds any election. If all fail, the outcome in the idempotency record of
     * the call may stay OPEN or UNKNOWN.
     */
    private static final int MAX_RETRIES = 300;

    /** Longest time for which the response to a caller waits for its record; an election takes up to 3 s. */
    private static final int MAX_RECORD_WAIT_MS = 2_000;

    private final InstanceId instance;
    private final ControlCommands control;
    private final Scheduler scheduler;
    private final String runId;
    private final Object lock = new Object();
    private int lastSessionNumber;
    private @Nullable CompletableFuture<String> currentSession;

    CallSession(InstanceId instance, ControlCommands control, Scheduler scheduler, String runId) {
        this.instance = instance;
        this.control = control;
        this.scheduler = scheduler;
        this.runId = runId;
    }

    /** Proposes the record of a call; opens a new session and tries once more if the session was closed. */
    CompletableFuture<CommandResult> begin(BeginCall.Builder call) {
        return session().thenCompose(session -> beginIn(session, call)).thenCompose(result -> {
            if (!isFenced(result)) {
                return CompletableFuture.completedFuture(result);
            }
            discardSession(call.getSession());
            return session().thenCompose(session -> beginIn(session, call));
        });
    }

    private CompletableFuture<CommandResult> beginIn(String session, BeginCall.Builder call) {
        Command command =
                Command.newBuilder().setBeginCall(call.setSession(session)).build();
        return control.submit(command).whenComplete((result, failure) -> {
            if (failure != null && !Failures.unwrap(failure).isNotRun()) {
                scheduler.schedule(RETRY_DELAY_MS, () -> closeOrphanedRecord(command, MAX_RETRIES));
            }
        });
    }

    /**
     * Resubmits a begin command whose result was lost, and closes its record as not run, because the call was never
     * sent.
     */
    private void closeOrphanedRecord(Command begin, int retriesLeft) {
        control.submit(begin).whenComplete((result, failure) -> {
            if (failure != null) {
                if (retriesLeft > 0) {
                    scheduler.schedule(RETRY_DELAY_MS, () -> closeOrphanedRecord(begin, retriesLeft - 1));
                }
                return;
            }
            CallResult call = result.getCall();
            if (call.getBegun()) {
                finish(FinishCall.newBuilder()
                        .setTeam(call.getRecord().getTeam())
                        .setIdempotencyKey(call.getRecord().getIdempotencyKey())
                        .setAttempt(call.getRecord().getAttempt())
                        .setOutcome(CallOutcome.NOT_RUN));
            }
        });
    }

    /**
     * Records the outcome of a call.
     *
     * <p>The future completes after the first attempt, successful or not, or after {@link #MAX_RECORD_WAIT_MS}. A
     * failed attempt is retried in the background.
     */
    CompletableFuture<Void> finish(FinishCall.Builder call) {
        Command command = Command.newBuilder().setFinishCall(call).build();
        CompletableFuture<Void> firstAttempt = new CompletableFuture<>();
        submitWithRetries(command, MAX_RETRIES, firstAttempt);
        scheduler.schedule(MAX_RECORD_WAIT_MS, () -> firstAttempt.complete(null));
        return firstAttempt;
    }

    private void submitWithRetries(Command command, int retriesLeft, CompletableFuture<Void> firstAttempt) {
        control.submit(command).whenComplete((result, failure) -> {
            if (failure != null && retriesLeft > 0) {
                scheduler.schedule(RETRY_DELAY_MS, () -> submitWithRetries(command, retriesLeft - 1, firstAttempt));
            } else if (failure != null) {
                LOG.warn(
                        "The outcome of a non-idempotent call could not be recorded; its record stays open or unknown");
            }
            firstAttempt.complete(null);
        });
    }

    /** Closes the session when the gateway shuts down. */
    void close() {
        CompletableFuture<String> current;
        synchronized (lock) {
            current = currentSession;
        }
        if (current != null) {
            current.thenAccept(session -> control.submit(Command.newBuilder()
                    .setCloseSession(CloseSession.newBuilder().setSession(session))
                    .build()));
        }
    }

    private CompletableFuture<String> session() {
        synchronized (lock) {
            if (currentSession == null || currentSession.isCompletedExceptionally()) {
                lastSessionNumber++;
                currentSession = openSession("session-" + runId + "-" + lastSessionNumber);
            }
            return currentSession;
        }
    }

    private CompletableFuture<String> openSession(String session) {
        Command command = Command.newBuilder()
                .setOpenSession(OpenSession.newBuilder().setSession(session).setInstance(instance.value()))
                .build();
        return control.submit(command).thenApply(result -> {
            if (!result.getErrorCode().isEmpty()) {
                ChivehollowException refused = Failures.of(
                        ErrorCode.fromWireName(result.getErrorCode()),
                        "The replicas refused to open a session for idempotency records",
                        true);
                throw refused;
            }
            return session;
        });
    }

    private void discardSession(String closedSession) {
        synchronized (lock) {
            CompletableFuture<String> current = currentSession;
            boolean isCurrent = current != null
                    && current.isDone()
                    && !current.isCompletedExceptionally()
                    && current.join().equals(closedSession);
            if (isCurrent) {
                currentSession = null;
            }
        }
    }

    private static boolean isFenced(CommandResult result) {
        return result.getErrorCode().equals(ErrorCode.FENCED.wireName());
    }
}
