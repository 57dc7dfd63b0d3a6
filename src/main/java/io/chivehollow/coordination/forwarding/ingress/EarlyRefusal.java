package io.chivehollow.coordination.forwarding.ingress;

import java.util.concurrent.ThreadLocalRandom;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.forwarding.flow.ForwardServices;
import io.chivehollow.coordination.forwarding.flow.Refusal;
import io.chivehollow.coordination.forwarding.pressure.HeldRequest;
import io.chivehollow.coordination.forwarding.pressure.ProcessPressure;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

/**
 * Refuses requests by their head while the process is overloaded, before anything is done for them.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
final class EarlyRefusal {

    /** Smaller bodies are received, so that the connection can be reused after the refusal. */
    private static final int MAX_SKIPPED_BYTES = 65_536;

    /** Random part of the retry time in milliseconds, so that refused callers do not return together. */
    private static final long RETRY_SPREAD_MS = 1_000;

    private EarlyRefusal() {}

    /** Returns why the request is refused, or null if it is accepted. */
    static @Nullable Refusal of(HttpRequest request, ForwardServices services, ProcessPressure pressure) {
        long bodyBytes = HttpUtil.getContentLength(request, 0L);
        if (bodyBytes > MAX_SKIPPED_BYTES && !pressure.held().hasRoomFor(bodyBytes)) {
            return refusal("The process has no room for a body of " + bodyBytes + " bytes", pressure);
        }
        return pressure.refuses(() -> priority(request, services))
                ? refusal("The process has more work than it can do in time", pressure)
                : null;
    }

    /** Returns whether the body of a refused request is received and ignored; otherwise its connection ends. */
    static boolean maySkipBody(HttpRequest request) {
        return !HttpUtil.isTransferEncodingChunked(request)
                && !HttpUtil.is100ContinueExpected(request)
                && HttpUtil.getContentLength(request, 0L) <= MAX_SKIPPED_BYTES;
    }

    private static int priority(HttpRequest request, ForwardServices services) {
        return services.admission()
                .priority(
                        request.headers().get(HttpHeaderNames.HOST, ""),
                        RequestPath.of(request.uri()),
                        services.dialect().readRequest(request.headers()).apiKey())
                .orElse(HeldRequest.UNKNOWN_PRIORITY);
    }

    static Refusal refusal(String message, ProcessPressure pressure) {
        long retryMs = pressure.retryAfterMs() + ThreadLocalRandom.current().nextLong(RETRY_SPREAD_MS);
        return Refusal.retryAfter(ErrorCode.OVERLOADED, message, retryMs);
    }
}
