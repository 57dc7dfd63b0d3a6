package io.chivehollow.protocol.engine;

/**
 * Receives the output of a generation.
 *
 * <p>Called on an event loop, in the order of the output, before the result of the call completes; must not block.
 */
public interface TokenListener {

    /** Called with the text of one or more tokens and their number. */
    void onTokens(String text, int count);
}
