package io.chivehollow.coordination.gateway;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.protocol.openai.Usage;

/**
 * Receives the response to a generation request.
 *
 * <p>The methods are called one at a time. After {@link #onDone} or {@link #onFailed} nothing more is delivered.
 */
interface GenerationListener {

    /**
     * Receives the next part of the output text; returns false, without accepting it, if the caller reads too slowly.
     */
    boolean onText(String text);

    /** Called when the response is complete. */
    void onDone(Usage usage, String finishReason);

    /** Called when the response cannot be completed. */
    void onFailed(ChivehollowException failure);
}
