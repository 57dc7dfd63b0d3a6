package io.chivehollow.state.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * A {@link FileStore} in a folder of the file system.
 *
 * <p>Invariant: a lock file prevents a second process from opening the same folder. Used by one thread at a time,
 * except for reading parts of files.
 */
public final class DiskFileStore implements FileStore {

    private static final String LOCK_NAME = "lock";

    private final Path folder;
    private final FileChannel lockChannel;

    private DiskFileStore(Path folder, FileChannel lockChannel) {
        this.folder = folder;
        this.lockChannel = lockChannel;
    }

    /**
     * Opens and locks the folder; creates it if it does not exist.
     *
     * @throws DiskFullException if there is no space for the folder or its lock file
     * @throws IOException if the folder cannot be used or is already open in this or another process
     */
    public static DiskFileStore open(Path folder) throws IOException {
        FileChannel channel = openLockFile(folder);
        try {
            FileLock lock = channel.tryLock();
            if (lock == null) {
                throw new IOException("The data folder " + folder + " is in use by another process");
            }
        } catch (OverlappingFileLockException e) {
            channel.close();
            throw new IOException("The data folder " + folder + " is already open in this process", e);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        return new DiskFileStore(folder, channel);
    }

    private static FileChannel openLockFile(Path folder) throws IOException {
        try {
            Files.createDirectories(folder);
            return FileChannel.open(folder.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        } catch (IOException e) {
            // Other failures, such as missing permissions, are errors of the settings.
            WriteFailedException refused = WriteFailedException.of(e);
            throw refused instanceof DiskFullException ? refused : e;
        }
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<String> names = new ArrayList<>();
            files.forEach(file -> names.add(file.getFileName().toString()));
            names.remove(LOCK_NAME);
            return names;
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public byte[] read(String name, long offset, int sizeBytes) throws IOException {
        try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.READ)) {
            ByteBuffer bytes = ByteBuffer.allocate(sizeBytes);
            int count = 0;
            while (count >= 0 && bytes.hasRemaining()) {
                count = channel.read(bytes, offset + bytes.position());
            }
            return Arrays.copyOf(bytes.array(), bytes.position());
        }
    }

    @Override
    public OpenFile open(String name) throws IOException {
        try {
            return new ChannelFile(
                    FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE));
        } catch (IOException e) {
            throw WriteFailedException.of(e);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        try {
            Files.move(
                    folder.resolve(from),
                    folder.resolve(to),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw WriteFailedException.of(e);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        try {
            // A file that could not be created on a full disk does not exist.
            Files.deleteIfExists(folder.resolve(name));
        } catch (IOException e) {
            throw WriteFailedException.of(e);
        }
    }

    @Override
    public void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            throw WriteFailedException.of(e);
        }
    }

    @Override
    public void close() throws IOException {
        lockChannel.close();
    }

    private static final class ChannelFile implements OpenFile {

        private final FileChannel channel;

        ChannelFile(FileChannel channel) {
            this.channel = channel;
        }

        @Override
        public void write(long offset, ByteBuffer bytes) throws IOException {
            long position = offset;
            try {
                while (bytes.hasRemaining()) {
                    position += channel.write(bytes, position);
                }
            } catch (IOException e) {
                throw WriteFailedException.of(e);
            }
        }

        @Override
        public void truncate(long sizeBytes) throws IOException {
            try {
                channel.truncate(sizeBytes);
            } catch (IOException e) {
                throw WriteFailedException.of(e);
            }
        }

        @Override
        public void sync() throws IOException {
            try {
                channel.force(false);
            } catch (IOException e) {
                throw WriteFailedException.of(e);
            }
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
