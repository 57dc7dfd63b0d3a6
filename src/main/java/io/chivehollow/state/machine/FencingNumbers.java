package io.chivehollow.state.machine;

import java.util.Map;
import java.util.TreeMap;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Identifiers;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.protocol.wire.FencingEntry;
import io.chivehollow.protocol.wire.FencingResult;
import io.chivehollow.protocol.wire.NextFencingNumber;

/**
 * The last fencing number of each backend server.
 *
 * <p>Invariant: the number of a backend server only increases; it is retained when the backend server is removed. Not
 * thread-safe.
 */
final class FencingNumbers {

    private final Map<String, Long> lastNumbers = new TreeMap<>();

    CommandResult.Builder next(NextFencingNumber command) {
        String server = command.getBackendServer();
        if (!Identifiers.isIdentifier(server)) {
            return CommandResults.refused(
                    ErrorCode.INVALID_REQUEST, "backend_server: \"" + server + "\": expected an identifier");
        }
        long number = lastNumbers.merge(server, 1L, Long::sum);
        return CommandResult.newBuilder().setFencing(FencingResult.newBuilder().setFencingNumber(number));
    }

    void save(ControlSnapshot.Builder snapshot) {
        lastNumbers.forEach((server, number) -> snapshot.addFencing(
                FencingEntry.newBuilder().setBackendServer(server).setFencingNumber(number)));
    }

    void restore(ControlSnapshot snapshot) {
        lastNumbers.clear();
        for (FencingEntry entry : snapshot.getFencingList()) {
            lastNumbers.put(entry.getBackendServer(), entry.getFencingNumber());
        }
    }
}
