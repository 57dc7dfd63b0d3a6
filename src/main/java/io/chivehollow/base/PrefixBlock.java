package io.chivehollow.base;

/**
 * Size of a prefix block, which is the part of a prompt that one prefix hash covers.
 *
 * <p>Stateless and thread-safe. Gateways compute the hashes and sidecars count them, so both must use the same size. It
 * is independent of the memory blocks of an engine, which are larger.
 */
public final class PrefixBlock {

    /** Estimated number of prompt tokens that one prefix hash covers. */
    public static final int TOKENS = 256;

    private PrefixBlock() {}
}
