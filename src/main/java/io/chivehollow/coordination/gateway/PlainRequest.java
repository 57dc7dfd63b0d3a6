package io.chivehollow.coordination.gateway;

import java.util.List;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.chivehollow.protocol.wire.Header;
import io.chivehollow.protocol.wire.PlainCall;

/**
 * A call to an ordinary service, as it is forwarded.
 *
 * <p>Immutable and thread-safe. The headers contain no credentials.
 *
 * @param method HTTP method
 * @param target path with the query, as sent by the caller
 * @param headers headers that are forwarded
 * @param body request body
 */
record PlainRequest(String method, String target, List<Header> headers, ByteString body) {

    PlainRequest {
        headers = List.copyOf(headers);
    }

    /** Returns the method and target, which a retry must have in common with the first call besides the body. */
    String route() {
        return method + " " + target;
    }

    ByteString bodySha256() {
        return ByteString.copyFrom(
                Hashing.sha256().hashBytes(body.toByteArray()).asBytes());
    }

    PlainCall.Builder toCall(RequestContext context) {
        return PlainCall.newBuilder()
                .setRequestId(context.id().value())
                .setTeam(context.teamName())
                .setKeyId(context.keyId())
                .setMethod(method)
                .setPath(target)
                .addAllHeaders(headers)
                .setBody(body);
    }

    @Override
    public String toString() {
        return "PlainRequest[" + method + "]";
    }
}
