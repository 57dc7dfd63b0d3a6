package io.chivehollow.state.machine;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SortedMap;
import java.util.zip.CRC32C;

import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnel;
import io.chivehollow.protocol.wire.RecordSegmentFile;
import org.jspecify.annotations.Nullable;

/**
 * The in-memory index of a segment file: a Bloom filter, and the position and checksum of each block.
 *
 * <p>The file consists of blocks of records in the order of their ids, the index block, and the size of the index
 * block. The index block contains the number of blocks, the upper half of the last id, for each block the upper half of
 * its first id, its end offset and its checksum, and the filter. The checksum of the index block thus covers every byte
 * of the blocks. Immutable and thread-safe.
 */
final class RecordSegment {

    /** Size that each lookup reads if it passes the filter; the index takes 16 bytes for each block. */
    private static final int BLOCK_BYTES = 8 << 10;

    /** Takes about 16 bits for each record; with 1,000 segments of the same period a new key causes 0.5 reads. */
    private static final double FALSE_POSITIVE_RATE = 0.0005;

    private static final int TRAILER_BYTES = Integer.BYTES;

    private static final Funnel<RecordId> FUNNEL = (id, sink) ->
            sink.putLong(id.high()).putLong(id.low()).putInt(id.team().hashCode());

    private final RecordSegmentFile file;
    private final long[] blockFirstHighs;
    private final int[] blockEnds;
    private final int[] blockChecksums;
    private final long lastHigh;
    private final BloomFilter<RecordId> filter;

    private RecordSegment(RecordSegmentFile file, DataInputStream index) throws IOException {
        this.file = file;
        int blocks = index.readInt();
        this.lastHigh = index.readLong();
        this.blockFirstHighs = new long[blocks];
        this.blockEnds = new int[blocks];
        this.blockChecksums = new int[blocks];
        for (int i = 0; i < blocks; i++) {
            blockFirstHighs[i] = index.readLong();
            blockEnds[i] = index.readInt();
            blockChecksums[i] = index.readInt();
        }
        this.filter = BloomFilter.readFrom(index, FUNNEL);
    }

    /** Returns the content of a segment file. */
    static byte[] encode(SortedMap<RecordId, byte[]> records) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        ByteArrayOutputStream blockIndex = new ByteArrayOutputStream();
        DataOutputStream index = new DataOutputStream(blockIndex);
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        BloomFilter<RecordId> filter = BloomFilter.create(FUNNEL, records.size(), FALSE_POSITIVE_RATE);
        int blocks = 0;
        for (Map.Entry<RecordId, byte[]> entry : records.entrySet()) {
            filter.put(entry.getKey());
            if (block.size() == 0) {
                index.writeLong(entry.getKey().high());
                blocks++;
            }
            writeRecord(new DataOutputStream(block), entry.getKey(), entry.getValue());
            if (block.size() >= BLOCK_BYTES || entry.getKey().equals(records.lastKey())) {
                block.writeTo(content);
                index.writeInt(content.size());
                index.writeInt(checksum(block.toByteArray()));
                block.reset();
            }
        }
        int indexStart = content.size();
        DataOutputStream out = new DataOutputStream(content);
        out.writeInt(blocks);
        out.writeLong(records.lastKey().high());
        blockIndex.writeTo(out);
        filter.writeTo(out);
        out.writeInt(content.size() - indexStart);
        return content.toByteArray();
    }

    private static void writeRecord(DataOutputStream out, RecordId id, byte[] record) throws IOException {
        byte[] team = id.team().getBytes(StandardCharsets.UTF_8);
        out.writeLong(id.high());
        out.writeLong(id.low());
        out.writeInt(team.length);
        out.write(team);
        out.writeInt(record.length);
        out.write(record);
    }

    /** Returns the description of a file with the given content, written after the command at the log index. */
    static RecordSegmentFile describe(long logIndex, byte[] content) {
        return RecordSegmentFile.newBuilder()
                .setIndex(logIndex)
                .setSizeBytes(content.length)
                .setChecksum(checksum(indexBlock(content)))
                .build();
    }

    /** Reads the index block; throws an exception if it does not match the description of the file. */
    static RecordSegment load(RecordSegmentFile file, RangeReader reader) throws IOException {
        long indexEnd = file.getSizeBytes() - TRAILER_BYTES;
        byte[] trailer = indexEnd < 0 ? new byte[0] : reader.read(indexEnd, TRAILER_BYTES + 1);
        if (trailer.length != TRAILER_BYTES) {
            throw new IOException("The size of the segment is wrong: expected " + file.getSizeBytes() + " bytes");
        }
        int sizeBytes = ByteBuffer.wrap(trailer).getInt();
        if (sizeBytes < 0 || sizeBytes > indexEnd) {
            throw new IOException("The size of the segment's index block is negative or larger than the segment");
        }
        byte[] index = reader.read(indexEnd - sizeBytes, sizeBytes);
        if (checksum(index) != file.getChecksum()) {
            throw new IOException("Bad checksum in the segment's index block");
        }
        return new RecordSegment(file, new DataInputStream(new ByteArrayInputStream(index)));
    }

    /** Returns a record, or null if the segment has none with this id; reads the file only if the filter matches. */
    byte @Nullable [] find(RecordId id, RangeReader reader) throws IOException {
        if (id.high() < blockFirstHighs[0] || id.high() > lastHigh || !filter.mightContain(id)) {
            return null;
        }
        // Ids with this upper half may already begin in the block before the first block that starts with it.
        int block = 0;
        while (block + 1 < blockFirstHighs.length && blockFirstHighs[block + 1] < id.high()) {
            block++;
        }
        for (; block < blockFirstHighs.length && blockFirstHighs[block] <= id.high(); block++) {
            byte[] record = findInBlock(readBlock(block, reader), id);
            if (record != null) {
                return record;
            }
        }
        return null;
    }

    /** Checks every block; throws an exception if one is damaged. */
    void verify(RangeReader reader) throws IOException {
        for (int block = 0; block < blockEnds.length; block++) {
            readBlock(block, reader);
        }
    }

    private byte[] readBlock(int block, RangeReader reader) throws IOException {
        int start = block == 0 ? 0 : blockEnds[block - 1];
        byte[] bytes = reader.read(start, blockEnds[block] - start);
        if (checksum(bytes) != blockChecksums[block]) {
            throw new IOException("Bad checksum in block " + block + " of the segment");
        }
        return bytes;
    }

    private static byte @Nullable [] findInBlock(byte[] block, RecordId id) {
        ByteBuffer in = ByteBuffer.wrap(block);
        while (in.hasRemaining()) {
            boolean isSameKey = in.getLong() == id.high() & in.getLong() == id.low();
            byte[] team = new byte[in.getInt()];
            in.get(team);
            int sizeBytes = in.getInt();
            if (isSameKey && new String(team, StandardCharsets.UTF_8).equals(id.team())) {
                byte[] record = new byte[sizeBytes];
                in.get(record);
                return record;
            }
            in.position(in.position() + sizeBytes);
        }
        return null;
    }

    RecordSegmentFile file() {
        return file;
    }

    /** Returns the latest creation time of the keys in the segment. */
    long lastCreationMs() {
        return lastHigh >>> 16;
    }

    private static byte[] indexBlock(byte[] content) {
        int end = content.length - TRAILER_BYTES;
        int sizeBytes = ByteBuffer.wrap(content, end, TRAILER_BYTES).getInt();
        byte[] index = new byte[sizeBytes];
        System.arraycopy(content, end - sizeBytes, index, 0, sizeBytes);
        return index;
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    /** Reads a range of the segment file; returns fewer bytes than requested if the file ends before. */
    interface RangeReader {
        byte[] read(long offset, int sizeBytes) throws IOException;
    }
}
