package io.chivehollow.coordination.forwarding.ingress;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

import io.chivehollow.protocol.HeadCheck;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the requests on one connection and encodes the responses; a request whose head is ambiguous fails.
 *
 * <p>Invariant: each request gets one response, in the order of the requests; interim responses bypass this handler.
 * Used on the event loop of the connection.
 */
final class RequestCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {

    private final Queue<HttpMethod> openMethods = new ArrayDeque<>();

    RequestCodec(HttpDecoderConfig config) {
        init(new Decoder(config), new Encoder());
    }

    private final class Decoder extends HttpRequestDecoder {

        private final HeadCheck check = HeadCheck.ofRequests();

        Decoder(HttpDecoderConfig config) {
            super(config);
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
                if (next instanceof HttpRequest request) {
                    openMethods.add(request.method());
                }
            }
        }
    }

    /** Omits the bodies of responses to HEAD, and chunks of responses that open a tunnel. */
    private final class Encoder extends HttpResponseEncoder {

        private @Nullable HttpMethod method;

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            method = openMethods.poll();
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
        }

        @Override
        protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean isAlwaysEmpty) {
            boolean isTunnel = !isAlwaysEmpty
                    && HttpMethod.CONNECT.equals(method)
                    && response.status().codeClass() == HttpStatusClass.SUCCESS;
            if (isTunnel) {
                response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            } else {
                super.sanitizeHeadersBeforeEncode(response, isAlwaysEmpty);
            }
        }
    }
}
