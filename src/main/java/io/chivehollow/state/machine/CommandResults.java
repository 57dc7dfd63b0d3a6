package io.chivehollow.state.machine;

import java.util.List;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.CommandResult;

/**
 * Builds the results of refused commands.
 *
 * <p>Stateless and thread-safe.
 */
final class CommandResults {

    private CommandResults() {}

    static CommandResult.Builder refused(ErrorCode code, String fault) {
        return refused(code, List.of(fault));
    }

    static CommandResult.Builder refused(ErrorCode code, List<String> faults) {
        return CommandResult.newBuilder().setErrorCode(code.wireName()).addAllFaults(faults);
    }
}
