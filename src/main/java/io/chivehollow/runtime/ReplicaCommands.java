package io.chivehollow.runtime;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.coordination.gateway.ControlCommands;
import io.chivehollow.coordination.replica.ControlClient;
import io.chivehollow.protocol.wire.ChangeMembers;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.MembersChanged;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.QueryResult;
import io.chivehollow.protocol.wire.StatusReport;

/**
 * Sends a gateway's commands through the control client.
 *
 * <p>Thread-safe.
 */
final class ReplicaCommands implements ControlCommands {

    private final ControlClient client;

    ReplicaCommands(ControlClient client) {
        this.client = client;
    }

    @Override
    public CompletableFuture<CommandResult> submit(Command command) {
        return client.submit(command);
    }

    @Override
    public CompletableFuture<QueryResult> query(Query query) {
        return client.query(query);
    }

    @Override
    public CompletableFuture<MembersChanged> changeMembers(ChangeMembers change) {
        return client.changeMembers(change);
    }

    @Override
    public CompletableFuture<StatusReport> status(InetSocketAddress replica) {
        return client.status(replica);
    }
}
