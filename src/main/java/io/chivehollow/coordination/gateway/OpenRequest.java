package io.chivehollow.coordination.gateway;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;

/**
 * A request that has no outcome yet.
 *
 * <p>Implementations are thread-safe.
 */
interface OpenRequest {

    RequestContext context();

    /** Ends the request because its API key is no longer valid, unless the request must not be interrupted. */
    void revoke(ChivehollowException reason);

    /** Ends the request because the shutdown time of the process is over. */
    void abandon(ErrorCode code, String message);
}
