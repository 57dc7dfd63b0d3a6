package io.chivehollow.coordination.replica;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.protocol.wire.Borrow;
import io.chivehollow.protocol.wire.ChangeMembers;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.MembersChanged;
import io.chivehollow.protocol.wire.Propose;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.QueryResult;
import io.chivehollow.protocol.wire.StatusQuery;
import io.chivehollow.protocol.wire.StatusReport;
import io.chivehollow.transport.ConnectionPool;
import org.jspecify.annotations.Nullable;

/**
 * Sends control messages to the replicas.
 *
 * <p>Commands and queries are sent to the leader, which is found by querying the replicas in turn and following their
 * hints. A command that may have taken effect is retried only if it is idempotent. Thread-safe.
 */
public final class ControlClient {

    /** Default timeout of a command in ms; an election and the next leader's first commit take up to 4 s. */
    private static final int DEFAULT_TIMEOUT_MS = 10_000;

    /** Timeout of one attempt in ms; a commit takes a few ms, an unresponsive leader is replaced after 2 s. */
    private static final int ATTEMPT_TIMEOUT_MS = 2_000;

    private static final int RETRY_DELAY_MS = 50;

    private final LeaderFinder leaders;
    private final ConnectionPool connections;
    private final Clock clock;
    private final Scheduler scheduler;

    private ControlClient(
            List<InetSocketAddress> replicas, ConnectionPool connections, Clock clock, Scheduler scheduler) {
        this.leaders = new LeaderFinder(replicas);
        this.connections = connections;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /** Returns a client for the replicas at the given addresses. */
    public static ControlClient create(
            List<InetSocketAddress> replicas, ConnectionPool connections, Clock clock, Scheduler scheduler) {
        return new ControlClient(replicas, connections, clock, scheduler);
    }

    /** Replaces the addresses of the replicas. */
    public void setReplicas(List<InetSocketAddress> replicas) {
        leaders.setReplicas(replicas);
    }

    /**
     * Proposes a command; the future completes with its result, also if the state machine rejected it.
     *
     * <p>An empty command id is replaced by a random one. The future fails with a {@link CoordinationException}; it is
     * "not run" only if the command has certainly not taken effect and never will.
     */
    public CompletableFuture<CommandResult> submit(Command command) {
        return submit(command, DEFAULT_TIMEOUT_MS);
    }

    /** Proposes a command like {@link #submit(Command)} with the given timeout. */
    public CompletableFuture<CommandResult> submit(Command command, int timeoutMs) {
        Command identified = withCommandId(command);
        Frame frame = Frame.newBuilder()
                .setPropose(Propose.newBuilder().setCommand(identified.toByteString()))
                .build();
        LeaderCall<CommandResult> call =
                new LeaderCall<>(frame, isSafeToRetry(identified), timeoutMs, ControlClient::commandResult);
        call.attempt();
        return call.result;
    }

    /** Reads from the leader's state while it holds the lease. */
    public CompletableFuture<QueryResult> query(Query query) {
        Frame frame = Frame.newBuilder().setQuery(query).build();
        return query(frame, DEFAULT_TIMEOUT_MS);
    }

    /** Reads like {@link #query(Query)} with the given timeout. */
    public CompletableFuture<QueryResult> query(Query query, int timeoutMs) {
        return query(Frame.newBuilder().setQuery(query).build(), timeoutMs);
    }

    private CompletableFuture<QueryResult> query(Frame frame, int timeoutMs) {
        LeaderCall<QueryResult> call = new LeaderCall<>(frame, true, timeoutMs, Frame::getQueryResult);
        call.attempt();
        return call.result;
    }

    /** Adds or removes one member of the replica group; the future completes when the change is committed. */
    public CompletableFuture<MembersChanged> changeMembers(ChangeMembers change) {
        Frame frame = Frame.newBuilder().setChangeMembers(change).build();
        LeaderCall<MembersChanged> call = new LeaderCall<>(frame, true, DEFAULT_TIMEOUT_MS, Frame::getMembersChanged);
        call.attempt();
        return call.result;
    }

    /** Reads the leader's commit index; it is at least the index of every command committed before this call. */
    public CompletableFuture<Long> currentIndex() {
        return query(Query.getDefaultInstance()).thenApply(QueryResult::getCommitIndex);
    }

    /** Requests the status of one replica. */
    public CompletableFuture<StatusReport> status(InetSocketAddress replica) {
        return connections
                .call(replica, Frame.newBuilder().setStatusQuery(StatusQuery.getDefaultInstance()), ATTEMPT_TIMEOUT_MS)
                .thenApply(Frame::getStatusReport);
    }

    /** Sends a report to the presumed leader without retries; the response is a Loan or NotLeader. */
    CompletableFuture<Frame> borrowOnce(Borrow borrow, int timeoutMs) {
        return callLeaderOnce(Frame.newBuilder().setBorrow(borrow).build(), timeoutMs);
    }

    CompletableFuture<Frame> callLeaderOnce(Frame frame, int timeoutMs) {
        InetSocketAddress replica = leaders.presumedLeader();
        return connections
                .get(replica)
                .thenCompose(connection -> {
                    leaders.onConnected(replica, connection.peer());
                    return connections.call(replica, frame.toBuilder(), timeoutMs);
                })
                .whenComplete((response, failure) -> {
                    if (failure != null) {
                        leaders.onFailure(replica);
                    } else if (response.hasNotLeader()) {
                        leaders.onNotLeader(replica, response.getNotLeader().getLeader());
                    }
                });
    }

    private static Command withCommandId(Command command) {
        Command.Builder builder = command.toBuilder();
        String id = UUID.randomUUID().toString();
        if (command.hasCreateKey() && command.getCreateKey().getCommandId().isEmpty()) {
            builder.getCreateKeyBuilder().setCommandId(id);
        }
        if (command.hasWithdrawKey() && command.getWithdrawKey().getCommandId().isEmpty()) {
            builder.getWithdrawKeyBuilder().setCommandId(id);
        }
        if (command.hasBeginCall() && command.getBeginCall().getCommandId().isEmpty()) {
            builder.getBeginCallBuilder().setCommandId(id);
        }
        return builder.build();
    }

    /** Returns whether the state machine gives a retried command its first response or an equivalent one. */
    static boolean isSafeToRetry(Command command) {
        return switch (command.getKindCase()) {
            case APPLY_RELEASE, CREATE_KEY, WITHDRAW_KEY, FINISH_CALL, OPEN_SESSION, CLOSE_SESSION -> true;
            case BEGIN_CALL -> !command.getBeginCall().getCommandId().isEmpty();
                // If the response is lost, its number is skipped.
            case NEXT_FENCING_NUMBER -> true;
                // A command with an equal revision has no effect.
            case PUBLISH_DEPLOYMENT, SET_DOMAIN -> true;
            default -> false;
        };
    }

    private static CommandResult commandResult(Frame frame) {
        try {
            return CommandResult.parseFrom(frame.getProposed().getResult());
        } catch (InvalidProtocolBufferException e) {
            throw CoordinationException.unknown(ErrorCode.INTERNAL, "The result of a command cannot be parsed", e);
        }
    }

    /** Returns whether another replica or a later attempt may succeed. */
    private static boolean isTransient(ErrorCode code) {
        return switch (code) {
            case NOT_LEADER,
                    NO_QUORUM,
                    OVERLOADED,
                    CONNECTION_LOST,
                    DEADLINE_EXCEEDED,
                    SHUTTING_DOWN,
                    CANCELLED -> true;
            default -> false;
        };
    }

    /** A message to the leader, with retries; at most one attempt is open at a time. */
    private final class LeaderCall<T> {

        private final Frame frame;
        private final boolean isRetryable;
        private final long deadlineNanos;
        private final Function<Frame, T> parseResponse;
        private final CompletableFuture<T> result = new CompletableFuture<>();
        private volatile boolean mayHaveTakenEffect;

        LeaderCall(Frame frame, boolean isRetryable, int timeoutMs, Function<Frame, T> parseResponse) {
            this.frame = frame;
            this.isRetryable = isRetryable;
            this.deadlineNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
            this.parseResponse = parseResponse;
        }

        void attempt() {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nanoTime());
            if (result.isDone()) {
                return;
            }
            if (remainingMs <= 0) {
                fail(ErrorCode.NOT_LEADER, "No leader accepted the message before the deadline", null);
                return;
            }
            try {
                callLeaderOnce(frame, (int) Math.min(remainingMs, ATTEMPT_TIMEOUT_MS))
                        .whenComplete(this::onResponse);
            } catch (RuntimeException e) {
                // Occurs for example when the connections are shut down; the future must still complete.
                onFailure(e);
            }
        }

        private void onResponse(Frame response, Throwable failure) {
            if (failure != null) {
                onFailure(failure instanceof CompletionException ? failure.getCause() : failure);
            } else if (response.hasNotLeader()) {
                scheduler.schedule(RETRY_DELAY_MS, this::attempt);
            } else {
                try {
                    result.complete(parseResponse.apply(response));
                } catch (CoordinationException e) {
                    result.completeExceptionally(e);
                }
            }
        }

        private void onFailure(Throwable failure) {
            if (!(failure instanceof ChivehollowException chivehollowException)) {
                mayHaveTakenEffect = true;
                fail(ErrorCode.INTERNAL, "Failed to send the message to the leader", failure);
                return;
            }
            mayHaveTakenEffect |= !chivehollowException.isNotRun();
            boolean canRetry = chivehollowException.isNotRun() || isRetryable;
            if (canRetry && isTransient(chivehollowException.code())) {
                scheduler.schedule(RETRY_DELAY_MS, this::attempt);
            } else {
                fail(
                        chivehollowException.code(),
                        String.valueOf(chivehollowException.getMessage()),
                        chivehollowException);
            }
        }

        private void fail(ErrorCode code, String message, @Nullable Throwable cause) {
            result.completeExceptionally(
                    mayHaveTakenEffect
                            ? CoordinationException.unknown(code, message, cause)
                            : CoordinationException.notRun(code, message));
        }
    }
}
