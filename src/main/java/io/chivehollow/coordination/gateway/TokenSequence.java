package io.chivehollow.coordination.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import io.chivehollow.protocol.wire.Tokens;

/**
 * Puts the token frames of one response into order.
 *
 * <p>The sequence number of a frame is the number of tokens in all frames before it. Invariant: each token is delivered
 * once, after all earlier ones. Not thread-safe.
 */
final class TokenSequence {

    private final SortedMap<Integer, Tokens> outOfOrder = new TreeMap<>();
    private int nextSequence;

    /** Accepts a frame and returns the frames that can be delivered now; duplicates are discarded. */
    List<Tokens> accept(Tokens tokens) {
        List<Tokens> ready = new ArrayList<>();
        if (tokens.getSequence() < nextSequence) {
            return ready;
        }
        outOfOrder.putIfAbsent(tokens.getSequence(), tokens);
        while (!outOfOrder.isEmpty() && outOfOrder.firstKey() == nextSequence) {
            Tokens inOrder = outOfOrder.remove(nextSequence);
            ready.add(inOrder);
            nextSequence += inOrder.getCount();
        }
        return ready;
    }

    /** Returns whether a frame has been received whose predecessor is still missing. */
    boolean hasGap() {
        return !outOfOrder.isEmpty();
    }

    /** Returns the number of tokens delivered. */
    int count() {
        return nextSequence;
    }
}
