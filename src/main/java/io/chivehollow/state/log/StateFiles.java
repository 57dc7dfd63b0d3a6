package io.chivehollow.state.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Reads and writes the files other than the segments: the member state and the snapshots.
 *
 * <p>Content is written to a temporary file, which is synced and renamed before the folder is synced, so that a crash
 * leaves either the old or the new content. Used by one thread at a time.
 */
final class StateFiles {

    private static final String MEMBER_NAME = "member";

    /** A preallocated file, so that a vote can be stored while the disk is full. */
    private static final String SPARE_NAME = "member.spare";

    private static final int SPARE_BYTES = 4_096;
    private static final String SNAPSHOT_PREFIX = "snapshot-";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private final FileStore files;

    StateFiles(FileStore files) {
        this.files = files;
    }

    void deleteTemporary() throws IOException {
        for (String name : files.list()) {
            if (name.endsWith(TEMPORARY_SUFFIX)) {
                files.delete(name);
            }
        }
    }

    @Nullable
    MemberState readMember() throws IOException {
        if (!files.list().contains(MEMBER_NAME)) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(readChecked(MEMBER_NAME));
        return new MemberState(readText(in), in.getLong(), in.getLong(), readText(in));
    }

    void writeMember(MemberState state) throws IOException {
        byte[] member = state.member().getBytes(StandardCharsets.UTF_8);
        byte[] vote = state.vote().getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(24 + member.length + vote.length);
        out.putInt(member.length).put(member);
        out.putLong(state.incarnation()).putLong(state.term());
        out.putInt(vote.length).put(vote);
        boolean hasSpare = files.list().contains(SPARE_NAME);
        replace(hasSpare ? SPARE_NAME : MEMBER_NAME + TEMPORARY_SUFFIX, MEMBER_NAME, out.array());
        createSpare();
    }

    private void createSpare() throws IOException {
        // Created under a temporary name, so that a spare file never exists without its preallocated space.
        String temporary = SPARE_NAME + TEMPORARY_SUFFIX;
        try (FileStore.OpenFile file = files.open(temporary)) {
            file.write(0, ByteBuffer.allocate(SPARE_BYTES));
            file.sync();
        } catch (DiskFullException e) {
            files.delete(temporary);
            return;
        }
        files.rename(temporary, SPARE_NAME);
    }

    /** Checks that the next vote can be stored on a full disk. */
    void checkSpareWritable() throws IOException {
        if (!files.list().contains(SPARE_NAME)) {
            throw new DiskFullException("No preallocated file is left for a vote", null);
        }
        try (FileStore.OpenFile file = files.open(SPARE_NAME)) {
            file.write(0, ByteBuffer.allocate(SPARE_BYTES));
        }
    }

    @Nullable
    Snapshot readSnapshot() throws IOException {
        List<String> names = snapshotNames();
        if (names.isEmpty()) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(readChecked(names.get(names.size() - 1)));
        long index = in.getLong();
        long term = in.getLong();
        byte[] membership = readBytes(in);
        byte[] state = readBytes(in);
        return new Snapshot(index, term, membership, state);
    }

    void writeSnapshot(Snapshot snapshot) throws IOException {
        byte[] membership = snapshot.membership();
        byte[] state = snapshot.state();
        ByteBuffer out = ByteBuffer.allocate(24 + membership.length + state.length);
        out.putLong(snapshot.index()).putLong(snapshot.term());
        out.putInt(membership.length).put(membership);
        out.putInt(state.length).put(state);
        String name = String.format("%s%020d", SNAPSHOT_PREFIX, snapshot.index());
        replace(name + TEMPORARY_SUFFIX, name, out.array());
        deleteOldSnapshots();
    }

    private void deleteOldSnapshots() throws IOException {
        List<String> names = snapshotNames();
        for (int i = 0; i < names.size() - 1; i++) {
            files.delete(names.get(i));
        }
    }

    private List<String> snapshotNames() throws IOException {
        List<String> names = new ArrayList<>();
        for (String name : files.list()) {
            if (name.startsWith(SNAPSHOT_PREFIX) && !name.endsWith(TEMPORARY_SUFFIX)) {
                names.add(name);
            }
        }
        Collections.sort(names);
        return names;
    }

    private void replace(String temporary, String name, byte[] body) throws IOException {
        try (FileStore.OpenFile file = files.open(temporary)) {
            file.write(0, LogRecordCodec.encode(0, 0, body));
            file.sync();
        } catch (DiskFullException e) {
            files.delete(temporary);
            throw e;
        }
        files.rename(temporary, name);
        files.syncFolder();
    }

    private byte[] readChecked(String name) throws IOException {
        byte[] body = LogRecordCodec.decode(0, 0, files.read(name));
        if (body == null) {
            throw LogStore.failed("Bad checksum in file " + name, null);
        }
        return body;
    }

    private static byte[] readBytes(ByteBuffer in) {
        byte[] bytes = new byte[in.getInt()];
        in.get(bytes);
        return bytes;
    }

    private static String readText(ByteBuffer in) {
        return new String(readBytes(in), StandardCharsets.UTF_8);
    }
}
