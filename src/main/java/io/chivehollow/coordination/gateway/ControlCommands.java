package io.chivehollow.coordination.gateway;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.protocol.wire.ChangeMembers;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.MembersChanged;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.QueryResult;
import io.chivehollow.protocol.wire.StatusReport;

/**
 * Sends commands and queries to the replica leader; implemented by the control client.
 *
 * <p>Implementations are thread-safe.
 */
public interface ControlCommands {

    /**
     * Proposes a command and returns its result.
     *
     * <p>The future fails if no result was received. The command may have been committed then, unless the error says
     * that it was not run.
     */
    CompletableFuture<CommandResult> submit(Command command);

    /** Queries the state of the leader. */
    CompletableFuture<QueryResult> query(Query query);

    /** Adds or removes one member of the replica group; the future completes when the change is committed. */
    CompletableFuture<MembersChanged> changeMembers(ChangeMembers change);

    /** Returns the status of one replica. */
    CompletableFuture<StatusReport> status(InetSocketAddress replica);
}
