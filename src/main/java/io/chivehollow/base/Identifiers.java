package io.chivehollow.base;

import java.util.regex.Pattern;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Checks the syntax of identifiers.
 *
 * <p>Stateless and thread-safe.
 */
public final class Identifiers {

    /** Largest length of an identifier in characters; bounds the length of log lines and metric labels. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:/-]+");

    private Identifiers() {}

    /** Returns whether the text is a valid identifier. */
    public static boolean isIdentifier(String value) {
        return value.length() <= MAX_LENGTH && PATTERN.matcher(value).matches();
    }

    static void checkIdentifier(String type, String value) {
        checkArgument(
                isIdentifier(value),
                "%s must have 1 to %s characters out of A-Z a-z 0-9 . _ : / -, but was \"%s\"",
                type,
                MAX_LENGTH,
                value);
    }
}
