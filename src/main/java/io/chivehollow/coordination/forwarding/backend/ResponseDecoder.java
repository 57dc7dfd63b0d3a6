package io.chivehollow.coordination.forwarding.backend;

import java.util.List;

import com.google.common.base.CharMatcher;
import com.google.common.base.Preconditions;
import io.chivehollow.protocol.HeadCheck;
import io.chivehollow.protocol.StatusCodes;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Decodes the responses on a connection that carries one request at a time; a response whose head is ambiguous fails.
 *
 * <p>Used on the event loop of the connection.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private static final CharMatcher STATUS = CharMatcher.inRange('0', '9');

    private final HeadCheck check = HeadCheck.ofResponses();
    private HttpMethod method = HttpMethod.GET;

    ResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Sets the method of the request whose response comes next. */
    void start(HttpMethod requestMethod) {
        method = requestMethod;
    }

    /** Returns whether bytes were received of which no message could be decoded yet. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int start = buffer.readerIndex();
        int decoded = out.size();
        super.decode(context, buffer, out);
        check.read(buffer, start, buffer.readerIndex());
        for (Object next : out.subList(decoded, out.size())) {
            IllegalArgumentException failure = check.checkDecoded((HttpObject) next);
            if (failure != null && ((HttpObject) next).decoderResult().isSuccess()) {
                ((HttpObject) next).setDecoderResult(DecoderResult.failure(failure));
            }
        }
    }

    /** The superclass parses a number, which may have a sign and any value. */
    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        String status = super.splitSecondWordInitialLine(line, start, length);
        boolean isValid = STATUS.matchesAllOf(status) && length == 3 && StatusCodes.isValid(Integer.parseInt(status));
        Preconditions.checkArgument(isValid, "The status is %s", status);
        return status;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        if (message instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            boolean isTunnel =
                    method.equals(HttpMethod.CONNECT) && response.status().equals(HttpResponseStatus.OK);
            if (isTunnel || method.equals(HttpMethod.HEAD)) {
                return true;
            }
        }
        return super.isContentAlwaysEmpty(message);
    }
}
