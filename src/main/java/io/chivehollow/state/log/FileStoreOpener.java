package io.chivehollow.state.log;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Opens the data folder of a member.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface FileStoreOpener {

    /**
     * Opens the folder; creates it if it does not exist.
     *
     * @throws WriteFailedException if the disk refuses writes
     * @throws IOException if the folder cannot be used for another reason
     */
    FileStore open(Path folder) throws IOException;
}
