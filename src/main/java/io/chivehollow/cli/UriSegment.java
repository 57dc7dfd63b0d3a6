package io.chivehollow.cli;

import com.google.common.net.UrlEscapers;

/**
 * Percent-encodes text as one segment of a URI's path.
 *
 * <p>Stateless and thread-safe.
 */
final class UriSegment {

    private UriSegment() {}

    static String encode(String text) {
        return UrlEscapers.urlPathSegmentEscaper().escape(text);
    }
}
