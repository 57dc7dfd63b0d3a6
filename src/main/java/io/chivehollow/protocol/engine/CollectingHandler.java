package io.chivehollow.protocol.engine;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.chivehollow.base.ErrorCode;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Collects a complete response in memory.
 *
 * <p>Used on one event loop.
 */
final class CollectingHandler implements ResponseHandler {

    /** Largest response body; bounds the memory that a misbehaving backend server can occupy. */
    private static final int MAX_BYTES = 32 << 20;

    private final Consumer<HttpHeaders> onHeaders;
    private final CompletableFuture<CollectedResponse> result = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

    CollectingHandler(Consumer<HttpHeaders> onHeaders) {
        this.onHeaders = onHeaders;
    }

    CompletableFuture<CollectedResponse> result() {
        return result;
    }

    @Override
    public void onHead(int responseStatus, HttpHeaders responseHeaders) {
        status = responseStatus;
        headers = responseHeaders;
        onHeaders.accept(responseHeaders);
    }

    @Override
    public void onBody(byte[] bytes) {
        if (body.size() + bytes.length > MAX_BYTES) {
            throw EngineException.mayHaveRun(
                    ErrorCode.BACKEND_FAILED, "Response of the backend server exceeds the size limit", null);
        }
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        result.complete(new CollectedResponse(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(EngineException failure) {
        result.completeExceptionally(failure);
    }

    /** A complete response; immutable, provided that the body's bytes are not changed. */
    record CollectedResponse(int status, HttpHeaders headers, byte[] body) {}
}
