package io.chivehollow.state.log;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** An in-memory disk that loses unsynced writes in a crash and injects failures on request. */
public final class SimDisk implements FileStore {

    private final Map<String, FileContent> names = new TreeMap<>();
    private final Map<String, FileContent> durableNames = new TreeMap<>();
    private final List<Consumer<Map<String, FileContent>>> unsyncedNameChanges = new ArrayList<>();
    private long operationCount;
    private long reads;
    private long crashAtOperation = Long.MAX_VALUE;
    private boolean isFull;
    private volatile boolean isRefusingWrites;
    private boolean isDroppingOnFailedSync;
    private boolean isSyncFailing;
    private boolean isCrashed;

    /** Makes the disk crash in the n-th operation from now on. */
    public void crashAfter(long operations) {
        crashAtOperation = operationCount + operations;
    }

    public long operationCount() {
        return operationCount;
    }

    /** Returns how many times a part of a file was read. */
    public long reads() {
        return reads;
    }

    public void setFull(boolean full) {
        isFull = full;
    }

    /** Makes every write fail halfway, also one to space that is reserved. */
    public void setRefusingWrites(boolean refusing) {
        isRefusingWrites = refusing;
    }

    /** Makes a failed sync drop the unsynced writes from the next sync, although they can still be read. */
    public void setDroppingOnFailedSync(boolean dropping) {
        isDroppingOnFailedSync = dropping;
    }

    public void setSyncFailing(boolean failing) {
        isSyncFailing = failing;
    }

    /** Returns the disk after a crash, in which every unsynced write may be complete, torn or missing. */
    public SimDisk crash(RandomGenerator random) {
        isCrashed = true;
        SimDisk next = new SimDisk();
        Map<String, FileContent> survivors = new TreeMap<>(durableNames);
        int survivingChanges = random.nextInt(unsyncedNameChanges.size() + 1);
        unsyncedNameChanges.subList(0, survivingChanges).forEach(change -> change.accept(survivors));
        survivors.forEach((name, content) -> next.putSynced(name, content.afterCrash(random)));
        return next;
    }

    /** Changes a byte of a file on the disk, counted back from the last byte that is not zero. */
    public void corrupt(String name, int bytesBeforeEnd) {
        byte[] bytes = names.get(name).bytes;
        int position = lastNonZero(bytes) - bytesBeforeEnd;
        if (position < 0) {
            // The file contains only the remains of an unsynced write.
            return;
        }
        bytes[position] ^= 0x10;
        names.get(name).durable = bytes.clone();
    }

    /** Returns a disk with the same files, all synced. */
    public SimDisk copy() {
        SimDisk next = new SimDisk();
        names.forEach((name, content) -> next.putSynced(name, content.bytes.clone()));
        return next;
    }

    /** Truncates a file as if its end had never been written. */
    public void truncate(String name, int sizeBytes) {
        FileContent content = names.get(name);
        content.bytes = Arrays.copyOf(content.bytes, sizeBytes);
        content.durable = content.bytes.clone();
    }

    /** Removes a file as if it had never existed. */
    public void remove(String name) {
        names.remove(name);
        durableNames.remove(name);
    }

    /** Returns the name of the newest segment that contains a record, or null if there is none. */
    public String lastSegment() {
        String found = null;
        for (Map.Entry<String, FileContent> file : names.entrySet()) {
            if (file.getKey().startsWith("segment-") && lastNonZero(file.getValue().bytes) > 0) {
                found = file.getKey();
            }
        }
        return found;
    }

    private static int lastNonZero(byte[] bytes) {
        int last = bytes.length - 1;
        while (last >= 0 && bytes[last] == 0) {
            last--;
        }
        return last;
    }

    private void putSynced(String name, byte[] bytes) {
        FileContent content = new FileContent();
        content.bytes = bytes;
        content.durable = bytes.clone();
        names.put(name, content);
        durableNames.put(name, content);
    }

    private boolean countOperationAndCheckCrash() {
        if (isCrashed) {
            throw new CrashException();
        }
        operationCount++;
        isCrashed = operationCount >= crashAtOperation;
        return isCrashed;
    }

    private void countOperation() {
        if (countOperationAndCheckCrash()) {
            throw new CrashException();
        }
    }

    private void changeNames(Consumer<Map<String, FileContent>> change) {
        countOperation();
        change.accept(names);
        unsyncedNameChanges.add(change);
    }

    @Override
    public List<String> list() {
        return new ArrayList<>(names.keySet());
    }

    @Override
    public byte[] read(String name) throws IOException {
        FileContent content = names.get(name);
        if (content == null) {
            throw new FileNotFoundException(name);
        }
        return content.bytes.clone();
    }

    @Override
    public byte[] read(String name, long offset, int sizeBytes) throws IOException {
        reads++;
        byte[] bytes = read(name);
        int start = (int) Math.min(offset, bytes.length);
        return Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + sizeBytes));
    }

    @Override
    public OpenFile open(String name) {
        FileContent content = names.get(name);
        if (content == null) {
            FileContent created = new FileContent();
            changeNames(map -> map.put(name, created));
            content = created;
        }
        return new SimFile(content);
    }

    @Override
    public void rename(String from, String to) {
        changeNames(map -> {
            FileContent moved = map.remove(from);
            if (moved != null) {
                map.put(to, moved);
            }
        });
    }

    @Override
    public void delete(String name) {
        changeNames(map -> map.remove(name));
    }

    @Override
    public void syncFolder() throws IOException {
        countOperation();
        throwIfSyncFailing();
        durableNames.clear();
        durableNames.putAll(names);
        unsyncedNameChanges.clear();
    }

    private void throwIfSyncFailing() throws IOException {
        if (isSyncFailing) {
            throw new WriteFailedException("Injected sync failure", null);
        }
    }

    @Override
    public void close() {
        // Nothing to release.
    }

    /** Thrown to end the simulated process in the middle of a file operation. */
    public static final class CrashException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** A change of a file's content that has not been synced. */
    private interface ContentChange {
        byte[] apply(byte[] bytes, double fraction);
    }

    private static final class FileContent {
        private byte[] bytes = new byte[0];
        private byte[] durable = new byte[0];
        private final List<ContentChange> unsynced = new ArrayList<>();

        byte[] afterCrash(RandomGenerator random) {
            byte[] result = durable.clone();
            int whole = random.nextInt(unsynced.size() + 1);
            for (ContentChange change : unsynced.subList(0, whole)) {
                result = change.apply(result, 1);
            }
            if (whole < unsynced.size()) {
                result = unsynced.get(whole).apply(result, random.nextDouble());
            }
            return result;
        }
    }

    private final class SimFile implements OpenFile {
        private final FileContent content;

        SimFile(FileContent content) {
            this.content = content;
        }

        @Override
        public void write(long offset, ByteBuffer buffer) throws IOException {
            boolean isLastStep = countOperationAndCheckCrash();
            byte[] data = new byte[buffer.remaining()];
            buffer.get(data);
            boolean isExtending = offset + data.length > content.bytes.length;
            if (isRefusingWrites || (isFull && isExtending)) {
                change((bytes, fraction) -> put(bytes, offset, Arrays.copyOf(data, data.length / 2), fraction));
                throw new DiskFullException("Injected full disk", null);
            }
            change((bytes, fraction) -> put(bytes, offset, data, fraction));
            if (isLastStep) {
                throw new CrashException();
            }
        }

        private byte[] put(byte[] bytes, long offset, byte[] data, double fraction) {
            int count = (int) (data.length * fraction);
            int size = (int) Math.max(bytes.length, offset + count);
            byte[] result = size > bytes.length ? Arrays.copyOf(bytes, size) : bytes;
            System.arraycopy(data, 0, result, (int) offset, count);
            return result;
        }

        private void change(ContentChange change) {
            content.bytes = change.apply(content.bytes, 1);
            content.unsynced.add(change);
        }

        @Override
        public void truncate(long sizeBytes) {
            countOperation();
            change((bytes, fraction) ->
                    fraction < 1 || bytes.length <= sizeBytes ? bytes : Arrays.copyOf(bytes, (int) sizeBytes));
        }

        @Override
        public void sync() throws IOException {
            countOperation();
            if (isSyncFailing && isDroppingOnFailedSync) {
                content.unsynced.clear();
            }
            throwIfSyncFailing();
            for (ContentChange change : content.unsynced) {
                content.durable = change.apply(content.durable, 1);
            }
            content.unsynced.clear();
        }

        @Override
        public void close() {
            // Nothing to release.
        }
    }

    /** Returns the names of all files, for assertions. */
    public List<String> names() {
        return Collections.unmodifiableList(list());
    }
}
