package io.chivehollow.coordination.sidecar;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which attempts of non-idempotent calls the sidecar may forward to the backend server.
 *
 * <p>Used on the sidecar's event loop. Invariants: an attempt is accepted at most once; no attempt is accepted while an
 * earlier accepted attempt of the same call may still run or has run; a call whose record was written before this
 * process read the log is never accepted, since an earlier process may have forwarded it. The number of stored calls is
 * bounded: when the least recently attempted call is evicted, all calls with a record index up to its own are refused
 * from then on, like calls that began before the start.
 */
final class AttemptRegistry {

    private static final int MAX_CALLS = 20_000;

    private final int maxCalls;
    private final Map<CallKey, CallAttempts> calls = new LinkedHashMap<>();
    /** Calls with a record index up to this one are refused; negative until the log has been read. */
    private long maxRefusedIndex = -1;

    AttemptRegistry() {
        this(MAX_CALLS);
    }

    AttemptRegistry(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /** Refuses all calls with a record index up to the given one, which was read from the log at the start. */
    void setStartIndex(long startIndex) {
        maxRefusedIndex = Math.max(maxRefusedIndex, startIndex);
    }

    /** Accepts the attempt and returns empty, or returns why it must not be forwarded. */
    Optional<String> tryAccept(CallKey key, long recordIndex, int attempt) {
        if (maxRefusedIndex < 0) {
            return Optional.of("The sidecar has not read the log yet; an earlier process may have forwarded the call");
        }
        if (recordIndex <= maxRefusedIndex) {
            return Optional.of("The call began before this sidecar started; an earlier process may have forwarded it");
        }
        CallAttempts previous = calls.get(key);
        if (previous != null && previous.mayHaveRun) {
            return Optional.of("An earlier attempt of the call may be running or has run");
        }
        if (previous != null && attempt <= previous.highestAttempt) {
            return Optional.of("Attempt " + attempt + " is not higher than earlier attempt " + previous.highestAttempt
                    + " of the call");
        }
        CallAttempts attempts = previous == null ? new CallAttempts() : previous;
        attempts.highestAttempt = attempt;
        attempts.mayHaveRun = true;
        attempts.recordIndex = Math.max(attempts.recordIndex, recordIndex);
        // Reinserted, so that the first entry is the least recently attempted call.
        calls.remove(key);
        calls.put(key, attempts);
        evictOldest();
        return Optional.empty();
    }

    /** Records that the accepted attempt has certainly not run and will not run. */
    void onNotRun(CallKey key) {
        CallAttempts attempts = calls.get(key);
        if (attempts != null) {
            attempts.mayHaveRun = false;
        }
    }

    private void evictOldest() {
        Iterator<CallAttempts> iterator = calls.values().iterator();
        while (calls.size() > maxCalls) {
            maxRefusedIndex = Math.max(maxRefusedIndex, iterator.next().recordIndex);
            iterator.remove();
        }
    }

    /** Identifies a non-idempotent call; immutable. */
    record CallKey(String team, String idempotencyKey) {}

    private static final class CallAttempts {
        private int highestAttempt;
        private long recordIndex;
        private boolean mayHaveRun;
    }
}
