package io.chivehollow.state.log;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the records of segment files. A record consists of a header, a body and a trailer byte.
 *
 * <p>A record contains all entries of one synced write under one CRC-32C checksum, so that a crash can damage only the
 * last record. The checksum covers the segment number and the offset of the record, so that bytes inside an entry are
 * never decoded as a record. Stateless and thread-safe.
 */
final class LogRecordCodec {

    static final int HEADER_BYTES = 16;
    static final int TRAILER_BYTES = 1;
    private static final int MAGIC = 0x43_48_4C_47;
    private static final byte TRAILER = 0x5A;
    private static final int ENTRY_HEADER_BYTES = 21;
    private static final int COUNT_BYTES = 4;

    private LogRecordCodec() {}

    /** Returns the size of the record for the entries, in bytes. */
    static long sizeOf(List<LogEntry> entries) {
        long sizeBytes = HEADER_BYTES + COUNT_BYTES + TRAILER_BYTES;
        for (LogEntry entry : entries) {
            sizeBytes += ENTRY_HEADER_BYTES + entry.data().length;
        }
        return sizeBytes;
    }

    static ByteBuffer encodeEntries(long segment, long offset, List<LogEntry> entries) {
        int bodyBytes = (int) (sizeOf(entries) - HEADER_BYTES - TRAILER_BYTES);
        ByteBuffer body = ByteBuffer.allocate(bodyBytes);
        body.putInt(entries.size());
        for (LogEntry entry : entries) {
            body.putLong(entry.index())
                    .putLong(entry.term())
                    .put((byte) entry.kind().ordinal())
                    .putInt(entry.data().length)
                    .put(entry.data());
        }
        return encode(segment, offset, body.array());
    }

    static ByteBuffer encode(long segment, long offset, byte[] body) {
        ByteBuffer encodedRecord = ByteBuffer.allocate(HEADER_BYTES + body.length + TRAILER_BYTES);
        encodedRecord.putInt(MAGIC).putInt(body.length).putInt(lengthChecksum(body.length));
        encodedRecord.putInt(checksum(segment, offset, body, 0, body.length));
        encodedRecord.put(body).put(TRAILER);
        return encodedRecord.flip();
    }

    /** Returns the body of the record at the offset, or null if there is no complete and undamaged record. */
    static byte @Nullable [] decode(long segment, int offset, byte[] file) {
        if (offset + HEADER_BYTES + TRAILER_BYTES > file.length) {
            return null;
        }
        ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
        if (header.getInt() != MAGIC) {
            return null;
        }
        int bodyBytes = header.getInt();
        if (header.getInt() != lengthChecksum(bodyBytes)) {
            return null;
        }
        int expected = header.getInt();
        long end = (long) offset + HEADER_BYTES + bodyBytes;
        if (bodyBytes < 0 || end + TRAILER_BYTES > file.length || file[(int) end] != TRAILER) {
            return null;
        }
        int start = offset + HEADER_BYTES;
        if (checksum(segment, offset, file, start, bodyBytes) != expected) {
            return null;
        }
        byte[] body = new byte[bodyBytes];
        System.arraycopy(file, start, body, 0, bodyBytes);
        return body;
    }

    /** Returns whether a complete and undamaged record starts anywhere at or after the offset. */
    static boolean hasRecordAfter(long segment, int offset, byte[] file) {
        for (int i = offset; i + HEADER_BYTES + TRAILER_BYTES <= file.length; i++) {
            if (file[i] == (byte) (MAGIC >>> 24) && decode(segment, i, file) != null) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the bytes from the offset on are an incomplete write. This is so if the last nonzero byte of the
     * file precedes the trailer of the record, which is never zero, or if all remaining bytes are zero.
     */
    static boolean isIncomplete(int offset, byte[] file) {
        int last = file.length - 1;
        while (last >= offset && file[last] == 0) {
            last--;
        }
        if (last < offset + HEADER_BYTES) {
            return true;
        }
        ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
        if (header.getInt() != MAGIC) {
            return false;
        }
        int bodyBytes = header.getInt();
        // The length has its own checksum, because a damaged length must not make a complete record look incomplete.
        return header.getInt() == lengthChecksum(bodyBytes) && last < (long) offset + HEADER_BYTES + bodyBytes;
    }

    static List<LogEntry> decodeEntries(byte[] body) {
        ByteBuffer in = ByteBuffer.wrap(body);
        int count = in.getInt();
        List<LogEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long index = in.getLong();
            long term = in.getLong();
            LogEntry.EntryKind kind = LogEntry.EntryKind.of(in.get());
            byte[] data = new byte[in.getInt()];
            in.get(data);
            entries.add(new LogEntry(index, term, kind, data));
        }
        return entries;
    }

    private static int lengthChecksum(int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(4).putInt(length).flip());
        return (int) crc.getValue();
    }

    private static int checksum(long segment, long offset, byte[] bytes, int start, int length) {
        CRC32C crc = new CRC32C();
        ByteBuffer prefix = ByteBuffer.allocate(20);
        crc.update(prefix.putLong(segment).putLong(offset).putInt(length).flip());
        crc.update(bytes, start, length);
        return (int) crc.getValue();
    }
}
