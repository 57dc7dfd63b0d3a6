package io.chivehollow.protocol;

/**
 * Tells which numbers are status codes of HTTP (RFC 9110, section 15).
 *
 * <p>Codecs accept further numbers. A response that states one is broken, and nothing in it can be relied on. Stateless
 * and thread-safe.
 */
public final class StatusCodes {

    private static final int FIRST = 100;
    private static final int LAST = 599;

    private StatusCodes() {}

    /** Returns whether the number is a status code. */
    public static boolean isValid(int code) {
        return code >= FIRST && code <= LAST;
    }
}
