package io.chivehollow.protocol;

import java.util.Locale;
import java.util.Set;

import com.google.common.base.Splitter;

/**
 * Names of hop-by-hop header fields, which concern one connection and are not forwarded (RFC 9110, section 7.6.1).
 *
 * <p>Stateless and thread-safe.
 */
public final class ConnectionHeaders {

    /** The fields that are never forwarded, in lower case. */
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

    private static final Splitter COMMA_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();

    private ConnectionHeaders() {}

    /** Adds the field names that are listed in the value of a Connection field to the set, in lower case. */
    public static void addNamed(String connectionField, Set<String> names) {
        for (String name : COMMA_SPLITTER.split(connectionField)) {
            names.add(name.toLowerCase(Locale.ROOT));
        }
    }
}
