package io.chivehollow.coordination.sidecar;

import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.replica.ControlClient;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.NextFencingNumber;

/**
 * Reads the start record by appending a command to the replicated log.
 *
 * <p>Thread-safe. The command requests a fencing number for the sidecar itself. Its log entry follows the record of
 * every call that an earlier sidecar process can have forwarded, and its fencing number is higher than all numbers
 * issued before, so that one command provides both values of the start record.
 */
public final class LogStartRecordSource implements StartRecordSource {

    private final ControlClient control;
    private final BackendServerId backendServer;
    private final InstanceId instance;

    private LogStartRecordSource(ControlClient control, BackendServerId backendServer, InstanceId instance) {
        this.control = control;
        this.backendServer = backendServer;
        this.instance = instance;
    }

    /** Returns a source for the sidecar that runs beside the backend server. */
    public static LogStartRecordSource create(
            ControlClient control, BackendServerId backendServer, InstanceId instance) {
        return new LogStartRecordSource(control, backendServer, instance);
    }

    @Override
    public CompletableFuture<StartRecord> read() {
        Command command = Command.newBuilder()
                .setNextFencingNumber(NextFencingNumber.newBuilder()
                        .setBackendServer(backendServer.value())
                        .setHolder(instance.value()))
                .build();
        return control.submit(command).thenApply(LogStartRecordSource::toStartRecord);
    }

    private static StartRecord toStartRecord(CommandResult result) {
        if (!result.getErrorCode().isEmpty()) {
            throw CoordinationException.mayHaveRun(
                    ErrorCode.fromWireName(result.getErrorCode()),
                    "The fencing number for the start of the sidecar was refused",
                    null);
        }
        return new StartRecord(result.getIndex(), result.getFencing().getFencingNumber());
    }
}
