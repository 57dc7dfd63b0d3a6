package io.chivehollow.coordination.gateway;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.protocol.wire.PlainResult;

/**
 * Receives the outcome of a plain call.
 *
 * <p>Exactly one method is called, once, unless the caller has disconnected.
 */
interface PlainListener {

    void onResult(PlainResult result);

    void onFailed(ChivehollowException failure);
}
