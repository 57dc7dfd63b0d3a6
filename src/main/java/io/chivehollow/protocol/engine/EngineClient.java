package io.chivehollow.protocol.engine;

import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.RequestId;

/**
 * Client of one backend server.
 *
 * <p>Implementations are thread-safe.
 */
public interface EngineClient extends AutoCloseable {

    /** Prefills a prompt: computes its KV cache, which a decode engine then imports. */
    EngineCall<PrefillResult> prefill(EngineRequest request);

    /**
     * Generates output from the KV cache that a prefill engine stores.
     *
     * @param handle the prefill's {@link PrefillResult#handle}; if empty, the engine prefills the prompt itself
     */
    EngineCall<GenerationResult> generate(EngineRequest request, String handle, TokenListener listener);

    /** Forwards a call to an ordinary HTTP service, which runs no language model. */
    EngineCall<PlainResponse> callPlain(PlainRequest request);

    /**
     * Cancels a request and releases its memory; also succeeds if the engine has no such request.
     *
     * <p>Fails with {@link io.chivehollow.base.ErrorCode#METHOD_NOT_ALLOWED} if the engine does not support it.
     */
    CompletableFuture<Void> abort(RequestId id);

    /** Cancels all requests and releases their memory. */
    CompletableFuture<Void> abortAll();

    /** Queries the load that the engine reports. */
    CompletableFuture<EngineStatus> status();

    /**
     * Sets the listener that is called when the engine has closed the connection for status calls between two of them.
     *
     * <p>The engine may have restarted, or it may close idle connections.
     */
    void onStatusConnectionLost(Runnable listener);

    /** Closes the connection for status calls; each other call has a connection of its own and is not affected. */
    @Override
    void close();

    /** Sends a management command. */
    CompletableFuture<CommandAnswer> command(ManagementCommand command);
}
