package io.chivehollow.state.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The file operations in the data folder of a member. Tests inject faults through this interface.
 *
 * <p>A change that the disk refuses throws a {@link WriteFailedException}; its extent is unknown then.
 *
 * <p>Used by one thread at a time, except {@link #read(String, long, int)}. Written content is durable only after the
 * file is synced; created, renamed and deleted names are durable only after the folder is synced.
 */
public interface FileStore extends AutoCloseable {

    /** Returns the names of all files in the folder. */
    List<String> list() throws IOException;

    /** Returns the whole content of a file. */
    byte[] read(String name) throws IOException;

    /** Returns a part of a file, truncated at the end of the file. May be called by any thread. */
    byte[] read(String name, long offset, int sizeBytes) throws IOException;

    /** Opens a file for writing; creates it if it does not exist. */
    OpenFile open(String name) throws IOException;

    /** Renames a file; replaces an existing one. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file; does nothing if it does not exist. */
    void delete(String name) throws IOException;

    /** Makes created, renamed and deleted names durable. */
    void syncFolder() throws IOException;

    @Override
    void close() throws IOException;

    /** A file that is open for writing. */
    interface OpenFile extends AutoCloseable {

        /** Writes all bytes at the offset; throws {@link DiskFullException} if there is no space. */
        void write(long offset, ByteBuffer bytes) throws IOException;

        /** Truncates the file to the given size. */
        void truncate(long sizeBytes) throws IOException;

        /** Makes the content durable. */
        void sync() throws IOException;

        @Override
        void close() throws IOException;
    }
}
