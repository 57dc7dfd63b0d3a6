package io.chivehollow.protocol.engine;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.CharMatcher;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.RequestId;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Calls a backend server over HTTP.
 *
 * <p>Thread-safe.
 */
public final class HttpEngineClient implements EngineClient {

    /** Id of the run of a backend server; it changes with each start. */
    private static final String BOOT_ID = "X-Boot-Id";

    /** Timeout of calls to which an engine responds without running a model. */
    private static final int CONTROL_TIMEOUT_MS = 1_000;

    /** Read timeout of a command that loads weights; tens of gigabytes from a weight store take minutes. */
    private static final int WEIGHT_LOAD_TIMEOUT_MS = 600_000;

    private final InetSocketAddress address;
    private final EventLoopGroup eventLoops;
    private final int callTimeoutMs;
    private final Consumer<String> bootIdListener;
    private final StatusConnection statusConnection;
    private volatile Runnable statusConnectionLostListener = () -> {};

    private HttpEngineClient(
            InetSocketAddress address, EventLoopGroup eventLoops, int callTimeoutMs, Consumer<String> bootIdListener) {
        this.address = address;
        this.eventLoops = eventLoops;
        this.callTimeoutMs = callTimeoutMs;
        this.bootIdListener = bootIdListener;
        this.statusConnection = new StatusConnection(
                address,
                eventLoops.next(),
                CONTROL_TIMEOUT_MS,
                this::reportBootId,
                () -> statusConnectionLostListener.run());
    }

    /**
     * Returns a client for the backend server at the address.
     *
     * @param callTimeoutMs longest time without a byte from the backend server during a call, in milliseconds
     * @param bootIdListener called with the boot id of every response that has one, on an event loop; the boot id
     *     changes with each start of the backend server
     */
    public static HttpEngineClient create(
            InetSocketAddress address, EventLoopGroup eventLoops, int callTimeoutMs, Consumer<String> bootIdListener) {
        return new HttpEngineClient(address, eventLoops, callTimeoutMs, bootIdListener);
    }

    @Override
    public EngineCall<PrefillResult> prefill(EngineRequest request) {
        FullHttpRequest http;
        try {
            http = completionRequest(request, EngineJson.prefillBody(request.body()));
        } catch (EngineException e) {
            return new FailedCall<>(e);
        }
        return collect(http, callTimeoutMs, HttpEngineClient::toPrefillResult);
    }

    private static PrefillResult toPrefillResult(CollectingHandler.CollectedResponse response) {
        JsonNode body = EngineJson.parse(requireSuccess(response));
        JsonNode transfer = body.path("kv_transfer_params");
        if (!transfer.isObject()) {
            throw EngineException.mayHaveRun(
                    ErrorCode.BACKEND_FAILED, "Engine response has no kv_transfer_params object", null);
        }
        String source = transfer.path("remote_host").asText("") + ":"
                + transfer.path("remote_port").asInt();
        return new PrefillResult(
                transfer.toString(),
                source,
                body.path("usage").path("prompt_tokens").asInt(),
                transfer.path("remote_kv_bytes").asLong(0),
                transfer.path("remote_expires_ms").asInt(0));
    }

    @Override
    public EngineCall<GenerationResult> generate(EngineRequest request, String handle, TokenListener listener) {
        FullHttpRequest http;
        try {
            http = completionRequest(request, EngineJson.generationBody(request.body(), handle));
        } catch (EngineException e) {
            return new FailedCall<>(e);
        }
        GenerationHandler handler = new GenerationHandler(listener, this::reportBootId);
        Channel channel = EngineHttpExchange.send(address, eventLoops, http, this::checkRun, callTimeoutMs, handler);
        return new ChannelCall<>(channel, handler.result());
    }

    @Override
    public EngineCall<PlainResponse> callPlain(PlainRequest request) {
        FullHttpRequest http;
        try {
            http = plainRequest(request);
        } catch (IllegalArgumentException e) {
            return new FailedCall<>(
                    EngineException.notSent(ErrorCode.INVALID_REQUEST, "Method, path or header is not valid", e));
        }
        return collect(http, callTimeoutMs, response -> {
            List<Map.Entry<String, String>> headers = response.headers().entries().stream()
                    .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                    .toList();
            return new PlainResponse(response.status(), headers, response.body());
        });
    }

    private FullHttpRequest plainRequest(PlainRequest request) {
        checkPath(request.path());
        FullHttpRequest http = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.path(),
                Unpooled.wrappedBuffer(request.body()));
        request.headers().forEach(header -> http.headers().add(header.getKey(), header.getValue()));
        http.headers()
                .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort())
                .setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        return http;
    }

    /** Rejects a path that would make the request line invalid. */
    private static void checkPath(String path) {
        checkArgument(
                path.startsWith("/") && CharMatcher.inRange('!', '~').matchesAllOf(path),
                "path must start with / and have visible ASCII characters only, but was \"%s\"",
                path);
    }

    @Override
    public CompletableFuture<Void> abort(RequestId id) {
        return sendControl("/abort_request", EngineJson.object().put("rid", id.value()));
    }

    @Override
    public CompletableFuture<Void> abortAll() {
        return sendControl("/abort_request", EngineJson.object().put("abort_all", true));
    }

    private CompletableFuture<Void> sendControl(String path, ObjectNode body) {
        FullHttpRequest http = jsonRequest(path, EngineJson.bytes(body));
        return collect(http, CONTROL_TIMEOUT_MS, HttpEngineClient::requireSupported)
                .result()
                .thenApply(response -> null);
    }

    @Override
    public CompletableFuture<EngineStatus> status() {
        return statusConnection.poll().thenApply(HttpEngineClient::toStatus);
    }

    @Override
    public void setStatusConnectionLostListener(Runnable listener) {
        statusConnectionLostListener = listener;
    }

    @Override
    public void close() {
        statusConnection.shutDown();
    }

    private static EngineStatus toStatus(CollectingHandler.CollectedResponse response) {
        String text = new String(requireSuccess(response), StandardCharsets.UTF_8);
        return new EngineStatus(
                response.headers().get(BOOT_ID, ""),
                (int) metric(text, "vllm:num_requests_running"),
                (int) metric(text, "vllm:num_requests_waiting"),
                metric(text, "vllm:kv_cache_usage_perc"));
    }

    /** Returns the sum of a metric over all its label values, in the Prometheus text format. */
    private static double metric(String text, String name) {
        double sum = 0;
        for (String line : text.split("\n")) {
            boolean isMetric = line.startsWith(name + " ") || line.startsWith(name + "{");
            if (isMetric) {
                try {
                    sum += Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
                } catch (NumberFormatException e) {
                    throw EngineException.mayHaveRun(
                            ErrorCode.BACKEND_FAILED, "Engine sent a malformed metric: " + line, e);
                }
            }
        }
        return sum;
    }

    @Override
    public CompletableFuture<CommandResponse> command(ManagementCommand command) {
        ObjectNode body = EngineJson.object()
                .put(command.kind().argumentField(), command.argument())
                .put("fencing_number", command.fencingNumber());
        FullHttpRequest http = jsonRequest(command.kind().path(), EngineJson.bytes(body));
        int readTimeoutMs =
                command.kind().loadsWeights() ? Math.max(callTimeoutMs, WEIGHT_LOAD_TIMEOUT_MS) : callTimeoutMs;
        return collect(
                        http,
                        readTimeoutMs,
                        response -> new CommandResponse(
                                response.status() / 100 == 2, new String(response.body(), StandardCharsets.UTF_8)))
                .result();
    }

    private <T> EngineCall<T> collect(
            FullHttpRequest http, int readTimeoutMs, Function<CollectingHandler.CollectedResponse, T> conversion) {
        CollectingHandler handler = new CollectingHandler(this::reportBootId);
        Channel channel = EngineHttpExchange.send(address, eventLoops, http, this::checkRun, readTimeoutMs, handler);
        return new ChannelCall<>(channel, handler.result().thenApply(conversion));
    }

    private FullHttpRequest completionRequest(EngineRequest request, byte[] body) {
        try {
            checkPath(request.path());
        } catch (IllegalArgumentException e) {
            throw EngineException.notSent(ErrorCode.INVALID_REQUEST, "Path of the engine call is not valid", e);
        }
        FullHttpRequest http = jsonRequest(request.path(), body);
        http.headers().set("X-Request-Id", request.id().value());
        return http;
    }

    private FullHttpRequest jsonRequest(String path, byte[] body) {
        FullHttpRequest http =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
        http.headers()
                .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort())
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return http;
    }

    /**
     * Tells whether the backend server still has the boot id of an earlier response; a response without one does not
     * show which run sent it.
     */
    private void checkRun(HttpHeaders headers, Consumer<Boolean> receiver) {
        String bootId = headers.get(BOOT_ID);
        if (bootId == null) {
            receiver.accept(false);
            return;
        }
        // The first poll may get the response to a request that was sent before.
        statusConnection
                .poll()
                .handle((response, failure) -> statusConnection.poll())
                .thenCompose(poll -> poll)
                .whenComplete((response, failure) -> receiver.accept(
                        failure == null && bootId.equals(response.headers().get(BOOT_ID))));
    }

    private void reportBootId(HttpHeaders headers) {
        String bootId = headers.get(BOOT_ID);
        if (bootId != null) {
            bootIdListener.accept(bootId);
        }
    }

    private static byte[] requireSupported(CollectingHandler.CollectedResponse response) {
        if (response.status() == 404 || response.status() == 405 || response.status() == 501) {
            throw EngineException.mayHaveRun(
                    ErrorCode.METHOD_NOT_ALLOWED,
                    "Engine does not support this endpoint: status " + response.status(),
                    null);
        }
        return requireSuccess(response);
    }

    private static byte[] requireSuccess(CollectingHandler.CollectedResponse response) {
        if (response.status() != 200) {
            throw EngineJson.failure(response.status(), response.body());
        }
        return response.body();
    }

    /** Returns the error with which the result of a call failed; an unexpected exception becomes an internal error. */
    public static EngineException failureOf(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof EngineException engineFailure
                ? engineFailure
                : EngineException.mayHaveRun(ErrorCode.INTERNAL, "Call to the backend server failed: " + cause, cause);
    }

    private record ChannelCall<T>(Channel channel, CompletableFuture<T> result) implements EngineCall<T> {

        @Override
        public void cancel() {
            channel.close();
        }
    }

    private record FailedCall<T>(EngineException failure) implements EngineCall<T> {

        @Override
        public CompletableFuture<T> result() {
            return CompletableFuture.failedFuture(failure);
        }

        @Override
        public void cancel() {
            // The call was never sent.
        }
    }
}
