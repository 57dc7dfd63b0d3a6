package io.chivehollow.state.consensus;

import java.io.IOException;
import java.util.Set;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.state.StateException;
import io.chivehollow.state.log.FileStore;
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
     * @throws StateException with code {@code STORAGE_FAILED} if the folder cannot be used
     */
    public static ConsensusMember open(ReplicatedLogConfig config) {
        return start(config, openLogStore(config, false));
    }

    /**
     * Opens the data folder after its disk has refused writes, provided that it accepts them again.
     *
     * @throws StateException with code {@code STORAGE_FAILED} if the folder cannot be used or the disk refuses writes
     */
    public static ConsensusMember reopen(ReplicatedLogConfig config) {
        return start(config, openLogStore(config, true));
    }

    private static ConsensusMember start(ReplicatedLogConfig config, LogStore.RecoveredLog opened) {
        NodeConfig nodeConfig = new NodeConfig(
                config.self(),
                config.initialMembers(),
                config.times(),
                NodeConfig.DEFAULT_SNAPSHOT_PART_BYTES,
                config.policy(),
                Set.of());
        MemberDriver driver;
        try {
            driver = new MemberDriver(
                    nodeConfig,
                    opened,
                    config.stateMachine(),
                    config.transport(),
                    config.clock(),
                    config.random(),
                    config.snapshotEntries());
        } catch (RuntimeException e) {
            opened.store().close();
            throw e;
        }
        driver.setObserver(config.observer());
        return ConsensusMember.start(config, driver);
    }

    private static LogStore.RecoveredLog openLogStore(ReplicatedLogConfig config, boolean isReopening) {
        try {
            FileStore files = config.files().open(config.dataFolder());
            try {
                if (isReopening) {
                    LogStore.checkWritable(files);
                }
                return LogStore.open(files, config.self().value(), config.random());
            } catch (IOException | RuntimeException e) {
                files.close();
                throw e;
            }
        } catch (IOException e) {
            throw StateException.failed(
                    ErrorCode.STORAGE_FAILED, "Cannot open the data folder " + config.dataFolder(), e);
        }
    }
}
