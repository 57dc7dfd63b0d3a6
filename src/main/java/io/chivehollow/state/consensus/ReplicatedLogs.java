package io.chivehollow.state.consensus;

import java.io.IOException;
import java.util.Set;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.state.StateException;
import io.chivehollow.state.log.DiskFileStore;
import io.chivehollow.state.log.LogStore;

/**
 * Opens members of the replica group.
 *
 * <p>Stateless and thread-safe.
 */
public final class ReplicatedLogs {

    private ReplicatedLogs() {}

    /**
     * Opens the data folder, recovers the state machine and starts the member.
     *
     * @throws StateException with code {@code STORAGE_FAILED} if the folder cannot be used; the process must exit then
     */
    public static ConsensusMember open(ReplicatedLogConfig config) {
        LogStore.RecoveredLog opened = openLogStore(config);
        NodeConfig nodeConfig = new NodeConfig(
                config.self(),
                config.initialMembers(),
                config.times(),
                NodeConfig.DEFAULT_SNAPSHOT_PART_BYTES,
                config.policy(),
                Set.of());
        MemberDriver driver = new MemberDriver(
                nodeConfig,
                opened,
                config.stateMachine(),
                config.transport(),
                config.clock(),
                config.random(),
                config.snapshotEntries());
        driver.setObserver(config.observer());
        return ConsensusMember.start(config, driver);
    }

    private static LogStore.RecoveredLog openLogStore(ReplicatedLogConfig config) {
        try {
            DiskFileStore files = DiskFileStore.open(config.dataFolder());
            try {
                return LogStore.open(files, config.self().value(), config.random());
            } catch (RuntimeException e) {
                files.close();
                throw e;
            }
        } catch (IOException e) {
            throw StateException.failed(
                    ErrorCode.STORAGE_FAILED, "Cannot open the data folder " + config.dataFolder(), e);
        }
    }
}
