package io.chivehollow.protocol.engine;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Handles one HTTP response.
 *
 * <p>The methods run on one event loop, one at a time. After {@link #onEnd} or {@link #onFailure}, no method is
 * called.
 */
interface ResponseHandler {

    void onHead(int status, HttpHeaders headers);

    void onBody(byte[] bytes);

    /** Returns whether the received body shows by itself that it is complete. */
    default boolean hasEnd() {
        return false;
    }

    void onEnd();

    void onFailure(EngineException failure);
}
