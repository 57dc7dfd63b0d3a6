package io.chivehollow.coordination.gateway;

import java.math.RoundingMode;
import java.util.Map;

import com.google.common.math.LongMath;
import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.config.ApiKeys.CheckedKey;
import io.chivehollow.metrics.GatewayMetrics;
import io.chivehollow.protocol.openai.ErrorBody;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpRequestWrapper;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.GenericFutureListener;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;

/**
 * An HTTP request with its id and a listener that detects when its connection closes.
 *
 * <p>Thread-safe. Invariant: if the connection closes before {@link #close} is called, the cancellation is triggered.
 */
final class HttpExchange {

    static final String REQUEST_ID_HEADER = "X-Request-Id";
    static final String API_KEY_HEADER = "X-Api-Key";

    private static final int MS_PER_S = 1_000;
    private static final String BEARER = "Bearer ";

    private final GatewayCore core;
    private final HttpRequest<?> request;
    private final RequestId id;
    private final Cancellation cancellation = new Cancellation();
    private final Channel channel;
    private final GenericFutureListener<ChannelFuture> onClose;
    private volatile TeamId team = GatewayMetrics.NO_TEAM;

    private HttpExchange(GatewayCore core, HttpRequest<?> request, Channel channel) {
        this.core = core;
        this.request = request;
        this.id = core.newRequestId();
        this.channel = channel;
        this.onClose = closed -> onClosed();
    }

    /** Returns the connection of a request. */
    static Channel channel(HttpRequest<?> request) {
        HttpRequest<?> netty = request;
        while (netty instanceof HttpRequestWrapper<?> wrapper) {
            netty = wrapper.getDelegate();
        }
        return ((NettyHttpRequest<?>) netty).getChannelHandlerContext().channel();
    }

    /** Returns the exchange of a request and starts listening for the close of its connection. */
    static HttpExchange open(GatewayCore core, HttpRequest<?> request) {
        Channel channel = channel(request);
        HttpExchange exchange = new HttpExchange(core, request, channel);
        channel.closeFuture().addListener(exchange.onClose);
        return exchange;
    }

    private void onClosed() {
        if (core.isEnabled(GatewaySafeguard.CANCEL_ON_DISCONNECT)) {
            cancellation.cancel();
        }
    }

    RequestId id() {
        return id;
    }

    HttpRequest<?> request() {
        return request;
    }

    Cancellation cancellation() {
        return cancellation;
    }

    /** Returns how many characters of a streamed response may be pending until the caller reads them. */
    int streamBufferChars() {
        return core.isEnabled(GatewaySafeguard.STREAM_BOUND)
                ? core.gatewaySettings().streamBufferChars()
                : Integer.MAX_VALUE;
    }

    /** Stores the team, under which metrics are recorded; a null key leaves it unset. */
    void onAuthenticated(@Nullable CheckedKey key) {
        if (key != null) {
            team = key.team();
        }
    }

    TeamId team() {
        return team;
    }

    /** Stops listening for the close of the connection, because the response is determined. */
    void close() {
        channel.closeFuture().removeListener(onClose);
    }

    /** Returns the team and the id of the caller's API key; throws if the key is missing or not valid. */
    CheckedKey authenticate() {
        String key = presentedKey();
        return core.apiKeys().check(core.config(), key);
    }

    private String presentedKey() {
        String authorization = request.getHeaders().get(HttpHeaders.AUTHORIZATION);
        if (authorization != null) {
            boolean isBearer = authorization.regionMatches(true, 0, BEARER, 0, BEARER.length());
            if (!isBearer) {
                throw CoordinationException.notRun(
                        ErrorCode.INVALID_KEY, "The header Authorization must have the form \"Bearer <key>\"");
            }
            return authorization.substring(BEARER.length()).trim();
        }
        String apiKey = request.getHeaders().get(API_KEY_HEADER);
        if (apiKey == null) {
            throw CoordinationException.notRun(
                    ErrorCode.MISSING_KEY, "The API key is missing; send it in the header Authorization or X-Api-Key");
        }
        return apiKey.trim();
    }

    /** Returns the response to a request that failed before a response was started. */
    MutableHttpResponse<?> failureResponse(ChivehollowException failure) {
        ErrorBody body = errorBody(failure);
        MutableHttpResponse<byte[]> response = HttpResponse.<byte[]>status(
                        body.code().httpStatus(), body.code().wireName())
                .body(body.toBytes())
                .contentType(MediaType.APPLICATION_JSON_TYPE);
        addHeaders(response);
        if (failure instanceof CoordinationException coordinationFailure) {
            coordinationFailure
                    .retryAfterMs()
                    .ifPresent(timeMs ->
                            response.header(HttpHeaders.RETRY_AFTER, String.valueOf(toSecondsCeiling(timeMs))));
        }
        return response;
    }

    /**
     * Rounds up, because an earlier retry would be refused again. A value of 0 would make clients retry immediately.
     */
    private static long toSecondsCeiling(long timeMs) {
        return Math.max(1, LongMath.divide(timeMs, MS_PER_S, RoundingMode.CEILING));
    }

    /** Returns the error object; only messages of the system's own exceptions reach the caller. */
    ErrorBody errorBody(ChivehollowException failure) {
        return new ErrorBody(failure.code(), String.valueOf(failure.getMessage()), failure.isNotRun(), id.value());
    }

    /** Returns a response with a complete body. */
    MutableHttpResponse<?> successResponse(byte[] body, MediaType type, Map<String, String> headers) {
        MutableHttpResponse<byte[]> response = HttpResponse.ok(body).contentType(type);
        addHeaders(response);
        headers.forEach(response::header);
        return response;
    }

    /** Returns a response whose body is written as it is published. */
    MutableHttpResponse<?> streamedResponse(Publisher<byte[]> body, MediaType type, Map<String, String> headers) {
        MutableHttpResponse<Publisher<byte[]>> response = HttpResponse.ok(body).contentType(type);
        addHeaders(response);
        headers.forEach(response::header);
        return response;
    }

    /** Adds the request id and, if the instance is not ready, a header that makes the client open a new connection. */
    void addHeaders(MutableHttpResponse<?> response) {
        response.header(REQUEST_ID_HEADER, id.value());
        if (!core.isReady()) {
            response.header(HttpHeaders.CONNECTION, "close");
        }
    }
}
