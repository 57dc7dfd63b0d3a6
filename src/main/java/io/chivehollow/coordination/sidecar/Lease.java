package io.chivehollow.coordination.sidecar;

import io.chivehollow.base.RequestId;

/**
 * A request's lease on resources of a backend server: memory blocks and possibly a slot for a concurrent request.
 *
 * <p>Used on the sidecar's event loop. Only {@link EngineCapacity} changes it.
 */
final class Lease {

    private final RequestId engineId;
    boolean isSlotReserved;
    boolean isStarted;

    Lease(RequestId engineId) {
        this.engineId = engineId;
    }

    /** Returns the id of the request in the engine. */
    RequestId engineId() {
        return engineId;
    }

    boolean usesSlot() {
        return isSlotReserved || isStarted;
    }
}
