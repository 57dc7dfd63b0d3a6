package io.chivehollow.coordination.forwarding.ingress;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.flow.Refusal;
import io.chivehollow.protocol.HeadCheck;
import io.chivehollow.protocol.openai.ErrorBody;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Creates the responses that the router itself generates.
 *
 * <p>Stateless and thread-safe.
 */
final class RefusalResponse {

    private RefusalResponse() {}

    /** Returns the refusal of a request that the decoder could not read. */
    static Refusal refusalOf(Throwable cause) {
        if (cause instanceof HeadCheck.UnknownCodingException) {
            return Refusal.of(ErrorCode.TRANSFER_CODING_UNKNOWN, "The only transfer coding of a request is chunked");
        }
        boolean isTooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return Refusal.of(
                isTooLong ? ErrorCode.HEADER_TOO_LARGE : ErrorCode.INVALID_REQUEST,
                "The request is malformed or its header is too large");
    }

    /** Returns the response to the request with the given id, which is empty if the request states none. */
    static FullHttpResponse of(Refusal refusal, String requestId, Dialect dialect) {
        byte[] text = new ErrorBody(refusal.code(), refusal.message(), refusal.isNotRun(), requestId).toBytes();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(refusal.code().httpStatus()),
                Unpooled.wrappedBuffer(text));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, text.length);
        if (refusal.retryAfterMs() != Refusal.NO_RETRY_TIME) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, dialect.retryAfter(refusal.retryAfterMs()));
        }
        return response;
    }
}
