package io.chivehollow.benchmark;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

import io.chivehollow.state.consensus.StateMachine;

/**
 * A state machine with a table of 1,000 rows. Each command replaces the row whose number is the log index modulo 1,000.
 *
 * <p>Used by one thread at a time.
 */
final class TableStateMachine implements StateMachine {

    private static final int ROWS = 1_000;

    private final Map<Integer, byte[]> rows = new HashMap<>();

    @Override
    public byte[] apply(long index, byte[] command) {
        rows.put((int) (index % ROWS), command);
        return new byte[0];
    }

    @Override
    public byte[] snapshot() {
        int sizeBytes = rows.values().stream().mapToInt(row -> row.length + 8).sum();
        ByteBuffer out = ByteBuffer.allocate(sizeBytes);
        rows.forEach((row, value) -> out.putInt(row).putInt(value.length).put(value));
        return out.array();
    }

    @Override
    public void restore(byte[] snapshot) {
        rows.clear();
        ByteBuffer in = ByteBuffer.wrap(snapshot);
        while (in.hasRemaining()) {
            int row = in.getInt();
            byte[] value = new byte[in.getInt()];
            in.get(value);
            rows.put(row, value);
        }
    }
}
