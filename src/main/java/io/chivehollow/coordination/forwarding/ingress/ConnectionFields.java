package io.chivehollow.coordination.forwarding.ingress;

import java.util.List;

import com.google.common.base.Splitter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes header fields that concern one connection only.
 *
 * <p>Stateless and thread-safe.
 */
final class ConnectionFields {

    private static final List<CharSequence> FIELDS = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            "Proxy-Connection",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    private static final Splitter LIST = Splitter.on(',').trimResults().omitEmptyStrings();

    private ConnectionFields() {}

    /** Returns a copy without the fields of the connection and those that its Connection field names. */
    static HttpHeaders without(HttpHeaders headers) {
        HttpHeaders copy = headers.copy();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            LIST.split(value).forEach(copy::remove);
        }
        FIELDS.forEach(copy::remove);
        return copy;
    }
}
