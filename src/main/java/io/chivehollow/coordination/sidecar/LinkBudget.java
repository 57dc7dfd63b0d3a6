package io.chivehollow.coordination.sidecar;

import java.util.HashMap;
import java.util.Map;

import io.chivehollow.base.RequestId;

/**
 * Limits the planned KV cache transfers to what the link can transfer before a prefill result expires.
 *
 * <p>Used on the sidecar's event loop. Invariant: the planned transfers together take at most the time limit.
 */
final class LinkBudget {

    private final long bytesPerSecond;
    private final int limitMs;
    private final Map<RequestId, Long> plannedTransfers = new HashMap<>();
    private long plannedBytes;

    LinkBudget(long bytesPerSecond, int limitMs) {
        this.bytesPerSecond = bytesPerSecond;
        this.limitMs = limitMs;
    }

    /** Returns whether a transfer of this size exceeds the time limit even if it has the link to itself. */
    boolean isTooLarge(long sizeBytes) {
        return transferMs(sizeBytes) > limitMs;
    }

    private double transferMs(long sizeBytes) {
        return sizeBytes * 1_000.0 / Math.max(1, bytesPerSecond);
    }

    /** Plans a transfer if it can complete within the time limit after the transfers that are already planned. */
    boolean tryPlan(RequestId id, long sizeBytes) {
        if (transferMs(plannedBytes + sizeBytes) > limitMs || plannedTransfers.containsKey(id)) {
            return false;
        }
        plannedTransfers.put(id, sizeBytes);
        plannedBytes += sizeBytes;
        return true;
    }

    long plannedBytes() {
        return plannedBytes;
    }

    /** Returns the time that the planned transfers take as a fraction of the time limit. */
    double utilization() {
        return transferMs(plannedBytes) / limitMs;
    }

    /** Removes a transfer that has ended or will not take place. */
    void remove(RequestId id) {
        Long sizeBytes = plannedTransfers.remove(id);
        if (sizeBytes != null) {
            plannedBytes -= sizeBytes;
        }
    }
}
