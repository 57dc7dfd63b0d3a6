package io.chivehollow.state.machine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Identifiers;
import io.chivehollow.protocol.wire.ApiKey;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.protocol.wire.CreateKey;
import io.chivehollow.protocol.wire.KeyCommand;
import io.chivehollow.protocol.wire.KeyResult;
import io.chivehollow.protocol.wire.WithdrawKey;
import org.jspecify.annotations.Nullable;

/**
 * The valid API keys, and the accepted commands that created and withdrew keys.
 *
 * <p>Invariant: a command id changes the table at most once, so a CreateKey command that is retried after the key was
 * withdrawn does not restore the key. Not thread-safe.
 */
final class ApiKeyTable {

    /** Number of accepted commands that are stored to detect retries; keys change some hundred times a day. */
    private static final int MAX_ACCEPTED_COMMANDS = 10_000;

    private static final int MAC_BYTES = 32;

    private final Map<String, ApiKey> keys = new TreeMap<>();
    private final LinkedHashMap<String, KeyCommand> acceptedCommands = new LinkedHashMap<>();

    /**
     * Returns the first result of a command that was accepted before, a refusal if its id was used for another API key,
     * or null if no command with this id is stored.
     */
    CommandResult.@Nullable Builder previousResult(String commandId, String keyId) {
        KeyCommand accepted = acceptedCommands.get(commandId);
        if (accepted == null) {
            return null;
        }
        if (!accepted.getKeyId().equals(keyId)) {
            return CommandResults.refused(
                    ErrorCode.INVALID_REQUEST, "command_id: \"" + commandId + "\" was used for another API key");
        }
        return result(accepted);
    }

    /** Returns the reasons for which the command must be refused; empty if there is none. */
    List<String> faults(CreateKey command, boolean teamExists) {
        List<String> faults = new ArrayList<>();
        if (command.getCommandId().isEmpty()) {
            faults.add("command_id: missing: expected an identifier of this command");
        }
        if (!Identifiers.isIdentifier(command.getKeyId())) {
            faults.add("key_id: \"" + command.getKeyId() + "\": expected an identifier");
        }
        if (keys.containsKey(command.getKeyId())) {
            faults.add("key_id: \"" + command.getKeyId() + "\": there is an API key with this id already");
        }
        if (!teamExists) {
            faults.add("team: \"" + command.getTeam() + "\": there is no such team");
        }
        if (command.getSecretMac().size() != MAC_BYTES) {
            faults.add("secret_mac: " + command.getSecretMac().size() + " bytes: expected " + MAC_BYTES);
        }
        return faults;
    }

    /** Returns the reasons for which the command must be refused; empty if there is none. */
    List<String> faults(WithdrawKey command) {
        List<String> faults = new ArrayList<>();
        if (command.getCommandId().isEmpty()) {
            faults.add("command_id: missing: expected an identifier of this command");
        }
        if (!keys.containsKey(command.getKeyId())) {
            faults.add("key_id: \"" + command.getKeyId() + "\": there is no such API key");
        }
        return faults;
    }

    CommandResult.Builder create(CreateKey command, long version) {
        keys.put(
                command.getKeyId(),
                ApiKey.newBuilder()
                        .setId(command.getKeyId())
                        .setTeam(command.getTeam())
                        .setSecretMac(command.getSecretMac())
                        .build());
        return recordCommand(command.getCommandId(), command.getKeyId(), version);
    }

    CommandResult.Builder withdraw(WithdrawKey command, long version) {
        keys.remove(command.getKeyId());
        return recordCommand(command.getCommandId(), command.getKeyId(), version);
    }

    /** Withdraws all keys of teams that no longer exist. */
    void retainKeysOfTeams(Set<String> remainingTeams) {
        keys.values().removeIf(key -> !remainingTeams.contains(key.getTeam()));
    }

    Iterable<ApiKey> keys() {
        return keys.values();
    }

    private CommandResult.Builder recordCommand(String commandId, String keyId, long version) {
        KeyCommand command = KeyCommand.newBuilder()
                .setCommandId(commandId)
                .setKeyId(keyId)
                .setConfigVersion(version)
                .build();
        acceptedCommands.put(commandId, command);
        if (acceptedCommands.size() > MAX_ACCEPTED_COMMANDS) {
            acceptedCommands.remove(acceptedCommands.keySet().iterator().next());
        }
        return result(command);
    }

    private static CommandResult.Builder result(KeyCommand command) {
        return CommandResult.newBuilder()
                .setKey(KeyResult.newBuilder()
                        .setKeyId(command.getKeyId())
                        .setConfigVersion(command.getConfigVersion()));
    }

    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllKeyCommands(acceptedCommands.values());
    }

    void restore(ControlSnapshot snapshot) {
        keys.clear();
        acceptedCommands.clear();
        for (ApiKey key : snapshot.getReleased().getKeysList()) {
            keys.put(key.getId(), key);
        }
        for (KeyCommand command : snapshot.getKeyCommandsList()) {
            acceptedCommands.put(command.getCommandId(), command);
        }
    }
}
