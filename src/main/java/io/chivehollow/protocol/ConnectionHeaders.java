package io.chivehollow.protocol;

import java.util.Locale;
import java.util.Set;

import com.google.common.base.Splitter;

/**
 * Names of header fields that concern one connection and are not passed on (RFC 9110, section 7.6.1).
 *
 * <p>Stateless and thread-safe.
 */
public final class ConnectionHeaders {

    /** The fields that always concern one connection, in lower case. */
    public static final Set<String> NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    private static final Splitter LIST = Splitter.on(',').trimResults().omitEmptyStrings();

    private ConnectionHeaders() {}

    /** Adds the names in the value of a Connection field, in lower case. */
    public static void addNamed(String connectionField, Set<String> names) {
        for (String name : LIST.split(connectionField)) {
            names.add(name.toLowerCase(Locale.ROOT));
        }
    }
}
