package io.chivehollow.coordination.forwarding;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.forwarding.adapter.EndpointHandler;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.DomainsQuery;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.QueryResult;
import io.chivehollow.protocol.wire.SetDomain;
import org.jboss.logging.Logger;

/**
 * Takes a failure domain out of service or puts it back, without undoing a later change.
 *
 * <p>The operator's request has no number, and the operator sends it to another instance if this one does not respond.
 * So the version of the failure domains is read first, and then the caller must still be waiting: a later request of
 * this caller can only change that version. The command is refused by the state machine if it does, however long the
 * command waits on the way to the leader, in its log or for the next leader.
 *
 * <p>Immutable and thread-safe.
 */
final class DomainChange {

    private static final Query VERSION_QUERY =
            Query.newBuilder().setDomains(DomainsQuery.getDefaultInstance()).build();

    private static final Logger LOG = Logger.getLogger(DomainChange.class);

    private final Reads reads;
    private final Writes writes;
    private final LongSupplier nanoTime;
    private final int timeoutMs;

    DomainChange(Reads reads, Writes writes, LongSupplier nanoTime, int timeoutMs) {
        this.reads = reads;
        this.writes = writes;
        this.nanoTime = nanoTime;
        this.timeoutMs = timeoutMs;
    }

    /** Reads from the leader's state. */
    @FunctionalInterface
    interface Reads {
        CompletableFuture<QueryResult> query(Query query, int timeoutMs);
    }

    /** Proposes commands to the leader. */
    @FunctionalInterface
    interface Writes {
        CompletableFuture<CommandResult> submit(Command command, int timeoutMs);
    }

    /**
     * Changes the failure domain; the future completes when that is durable. It fails with a
     * {@link CoordinationException} if the caller has stopped waiting or the replicas do not respond in time.
     */
    CompletableFuture<Void> run(FailureDomain domain, boolean isOutOfService, EndpointHandler.Caller caller) {
        long deadlineNanos = nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        return attempt(domain, isOutOfService, caller, deadlineNanos);
    }

    private CompletableFuture<Void> attempt(
            FailureDomain domain, boolean isOutOfService, EndpointHandler.Caller caller, long deadlineNanos) {
        return reads.query(VERSION_QUERY, remainingMs(deadlineNanos))
                .thenCompose(read -> caller.isWaiting().thenCompose(isWaiting -> {
                    if (!isWaiting) {
                        LOG.infof(
                                "Dropped a request to set failure domain %s %s: its caller no longer waits for it",
                                domain, isOutOfService ? "out of service" : "in service");
                        throw CoordinationException.notRun(
                                ErrorCode.CANCELLED, "The request may be older than a request to another instance");
                    }
                    Command command = command(domain, isOutOfService, read.getDomainsVersion());
                    return writes.submit(command, remainingMs(deadlineNanos)).thenCompose(result -> {
                        if (result.getErrorCode().equals(ErrorCode.STATE_CHANGED.wireName())) {
                            return attempt(domain, isOutOfService, caller, deadlineNanos);
                        }
                        ReplicatedActions.checked(result);
                        return CompletableFuture.completedFuture(null);
                    });
                }));
    }

    private int remainingMs(long deadlineNanos) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nanoTime.getAsLong());
        if (remainingMs <= 0) {
            throw CoordinationException.mayHaveRun(
                    ErrorCode.DEADLINE_EXCEEDED, "The failure domain did not change before the deadline", null);
        }
        return (int) remainingMs;
    }

    private static Command command(FailureDomain domain, boolean isOutOfService, long domainsVersion) {
        return Command.newBuilder()
                .setSetDomain(SetDomain.newBuilder()
                        .setDomain(domain.value())
                        .setOut(isOutOfService)
                        .setDomainsVersion(domainsVersion))
                .build();
    }
}
