package io.chivehollow.coordination.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.forwarding.adapter.EndpointHandler.Caller;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.QueryResult;
import io.chivehollow.state.machine.ControlState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/** Guards against an earlier request that undoes a later evacuation of a failure domain. */
public class DomainChangeTest {

    private static final FailureDomain NORTH = FailureDomain.of("north");
    private static final Caller WAITING = () -> CompletableFuture.completedFuture(true);
    private static final Caller GONE = () -> CompletableFuture.completedFuture(false);

    private final Deque<Runnable> delayedCommands = new ArrayDeque<>();
    private ControlState state = ControlState.create();
    private long index;
    private long timeNanos;

    @BeforeMethod
    public void start() {
        state = ControlState.create();
        index = 0;
        timeNanos = 0;
        delayedCommands.clear();
    }

    private CompletableFuture<QueryResult> query(Query query, int timeoutMs) {
        assertTrue(query.hasDomains());
        return CompletableFuture.completedFuture(QueryResult.newBuilder()
                .setDomainsVersion(state.releasedState().getDomainsVersion())
                .build());
    }

    private CompletableFuture<CommandResult> apply(Command command, int timeoutMs) {
        try {
            return CompletableFuture.completedFuture(
                    CommandResult.parseFrom(state.apply(++index, command.toByteArray())));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Keeps the command back, like a leader that is stopped or a log that has no quorum. */
    private CompletableFuture<CommandResult> applyLater(Command command, int timeoutMs) {
        CompletableFuture<CommandResult> result = new CompletableFuture<>();
        delayedCommands.add(() -> apply(command, timeoutMs).thenAccept(result::complete));
        return result;
    }

    private CompletableFuture<Void> change(DomainChange.Writes writes, boolean isOutOfService, Caller caller) {
        return new DomainChange(this::query, writes, () -> timeNanos, 900).run(NORTH, isOutOfService, caller);
    }

    private boolean isOutOfService() {
        return state.releasedState().getDomainsList().stream()
                .anyMatch(domain -> domain.getId().equals(NORTH.value()) && domain.getOut());
    }

    @Test
    public void domainIsTakenOutOfServiceAndBack() {
        change(this::apply, true, WAITING).join();
        assertTrue(isOutOfService());
        change(this::apply, true, WAITING).join();
        assertTrue(isOutOfService());
        change(this::apply, false, WAITING).join();
        assertFalse(isOutOfService());
    }

    @Test
    public void requestWhoseCallerNoLongerWaitsDoesNotUndoAnEvacuation() {
        change(this::apply, true, WAITING).join();
        CompletionException failure = expectThrows(CompletionException.class, () -> change(this::apply, false, GONE)
                .join());
        assertTrue(((CoordinationException) failure.getCause()).isNotRun());
        assertTrue(isOutOfService());
    }

    @Test
    public void commandThatIsDelayedAfterItsDecisionDoesNotUndoAnEvacuation() {
        change(this::apply, true, WAITING).join();
        CompletableFuture<Void> early = change(this::applyLater, false, WAITING);
        change(this::apply, false, WAITING).join();
        change(this::apply, true, WAITING).join();
        timeNanos += 2_000_000_000L;
        delayedCommands.remove().run();
        assertTrue(isOutOfService());
        assertTrue(early.isCompletedExceptionally());
    }

    /** The caller still waits, so its request is the latest one although another failure domain has changed. */
    @Test
    public void requestIsDecidedAgainAfterAChangeOfAnotherDomain() {
        CompletableFuture<Void> first = change(this::applyLater, true, WAITING);
        new DomainChange(this::query, this::apply, () -> timeNanos, 900)
                .run(FailureDomain.of("south"), true, WAITING)
                .join();
        delayedCommands.remove().run();
        delayedCommands.remove().run();
        first.join();
        assertEquals(
                state.releasedState().getDomainsList().stream()
                        .filter(Domain::getOut)
                        .map(Domain::getId)
                        .toList()
                        .toString(),
                "[south, north]");
    }
}
