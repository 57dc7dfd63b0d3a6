package io.chivehollow.state.machine;

import java.util.Set;

import io.chivehollow.state.machine.RecordOptions.RecordSafeguard;

/** Creates states that move finished records to a segment file as soon as there are a few. */
public final class SmallSegments {

    private SmallSegments() {}

    /** Returns a state whose segments have five records each. */
    public static ControlState create() {
        return create(5, Set.of());
    }

    /** Returns a state that does not sync its segments. */
    public static ControlState withoutSync() {
        return create(5, Set.of(RecordSafeguard.SYNC_SEGMENTS));
    }

    /** Returns a state whose lookups do not read its segments. */
    public static ControlState withoutLookup() {
        return create(5, Set.of(RecordSafeguard.READ_SEGMENTS));
    }

    static ControlState create(int recordsPerSegment, Set<RecordSafeguard> disabledSafeguards) {
        return ControlState.create(new RecordOptions(recordsPerSegment, 1 << 20, disabledSafeguards));
    }
}
