package io.chivehollow.state.machine;

import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

/**
 * An idempotency key, a UUID of version 7 (RFC 9562).
 *
 * <p>Immutable and thread-safe. The text is in lower case, so that a UUID in upper case is the same key.
 *
 * @param text canonical text of the UUID
 */
public record IdempotencyKey(String text) {

    private static final long VERSION_7 = 0x7000L;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final int TIME_SHIFT_BITS = 16;

    private static final Pattern FORM =
            Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");

    /** Returns the key with the given text, or nothing if the text is not a UUID of version 7. */
    public static Optional<IdempotencyKey> parse(String text) {
        String canonical = text.toLowerCase(Locale.ROOT);
        return FORM.matcher(canonical).matches() ? Optional.of(new IdempotencyKey(canonical)) : Optional.empty();
    }

    /** Returns a new key with the given creation time, which RFC 9562 puts into the first 48 bits. */
    public static IdempotencyKey create(long nowMs, RandomGenerator random) {
        long high = (nowMs << TIME_SHIFT_BITS) | VERSION_7 | (random.nextLong() & 0xfffL);
        long low = (random.nextLong() & 0x3fff_ffff_ffff_ffffL) | VARIANT;
        return new IdempotencyKey(new UUID(high, low).toString());
    }

    /** Returns the creation time that is embedded in the key, in Unix milliseconds. */
    public long creationMs() {
        return UUID.fromString(text).getMostSignificantBits() >>> TIME_SHIFT_BITS;
    }
}
