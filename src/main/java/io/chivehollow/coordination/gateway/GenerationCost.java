package io.chivehollow.coordination.gateway;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Identifiers;
import io.chivehollow.base.ModelId;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.protocol.openai.GenerationRequest;
import io.chivehollow.protocol.wire.Model;
import io.chivehollow.protocol.wire.PoolRole;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.protocol.wire.ReserveDecode;

/**
 * Token counts and limits of a generation request, from which its memory and its charge are computed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model
 * @param promptTokens estimated number of prompt tokens
 * @param maxOutputTokens largest number of output tokens
 * @param predictedOutputTokens expected number of output tokens
 * @param kvBytes size of the prompt's KV cache in bytes, 0 if the configuration does not state it
 * @param directPromptTokens largest number of prompt tokens that a decode engine prefills itself, 0 for none
 * @param firstTokenTargetMs target for the time to the first token of interactive requests in milliseconds, 0 for none
 */
record GenerationCost(
        ModelId model,
        int promptTokens,
        int maxOutputTokens,
        int predictedOutputTokens,
        long kvBytes,
        int directPromptTokens,
        int firstTokenTargetMs) {

    /** Approximate number of tokens per block in which an engine allocates its memory. */
    private static final int BLOCK_TOKENS = 4_000;

    /** Longest time for which decode memory is reserved for a prefill; long enough for a prefill of 100,000 tokens. */
    private static final int MAX_RESERVATION_MS = 15_000;

    /** Returns the cost of a request; throws if the model does not exist or its context is too small. */
    static GenerationCost of(GenerationRequest request, Configuration configuration) {
        String name = request.model();
        Model model = Identifiers.isIdentifier(name)
                ? configuration.model(ModelId.of(name)).orElse(null)
                : null;
        if (model == null) {
            throw CoordinationException.notRun(ErrorCode.MODEL_NOT_FOUND, "The model \"" + name + "\" does not exist");
        }
        int prompt = request.promptTokens();
        int availableTokens = model.getContextTokens() - prompt;
        Integer requested = request.maxTokens();
        int needed = requested == null ? 1 : requested;
        if (availableTokens < needed) {
            throw CoordinationException.notRun(
                    ErrorCode.CONTEXT_LENGTH_EXCEEDED,
                    "The model's context has " + model.getContextTokens() + " tokens, but the request needs about "
                            + prompt + " for the prompt and " + needed + " for the output");
        }
        int defaultOutput = Math.max(1, model.getDefaultOutputTokens());
        int maxOutput = requested == null ? Math.min(availableTokens, defaultOutput) : requested;
        return new GenerationCost(
                ModelId.of(name),
                prompt,
                maxOutput,
                Math.min(maxOutput, defaultOutput),
                prompt * model.getKvBytesPerToken(),
                model.getDirectPromptTokens(),
                model.getFirstTokenTargetMs());
    }

    /** Returns whether a decode engine that has this many leading prompt tokens cached prefills the rest itself. */
    boolean isDirect(int cachedPrefixTokens) {
        return directPromptTokens > 0 && promptTokens - cachedPrefixTokens <= directPromptTokens;
    }

    /** Returns the number of tokens charged to the team at admission. */
    long chargedTokens() {
        return (long) promptTokens + maxOutputTokens;
    }

    byte[] engineBody(GenerationRequest request) {
        return request.engineBody(maxOutputTokens);
    }

    PlacementRequest placement(PoolRole role) {
        if (role == PoolRole.PREFILL) {
            return new PlacementRequest(PlacementRequest.ServerRole.PREFILL, promptTokens, 0);
        }
        int blocks = (int) ((chargedTokens() + BLOCK_TOKENS - 1) / BLOCK_TOKENS);
        return new PlacementRequest(PlacementRequest.ServerRole.DECODE, promptTokens, blocks);
    }

    RequestInfo requestInfo(
            GenerationRequest request, RequestContext context, FirstTokenTarget target, GatewayCore core) {
        return RequestInfo.newBuilder()
                .setRequestId(context.id().value())
                .setTeam(context.teamName())
                .setKeyId(context.keyId())
                .setModel(model.value())
                .setPromptTokens(promptTokens)
                .setMaxOutputTokens(maxOutputTokens)
                .setPredictedOutputTokens(predictedOutputTokens)
                .setPriority(target.priority())
                .setFirstTokenMs(target.remainingMs())
                .setDeadlineMs(context.remainingMs(core.clock()))
                .addAllPrefixHashes(request.prefixHashes())
                .build();
    }

    /** Returns a reservation of decode memory for a prompt that the decode engine prefills itself. */
    ReserveDecode directReservation(
            GenerationRequest request, RequestContext context, FirstTokenTarget target, GatewayCore core) {
        return reservation(request, context, target, core, 0).toBuilder()
                .clearKvBytes()
                .build();
    }

    /**
     * Returns a reservation of decode memory for a prompt that a prefill server prefills.
     *
     * @param reportedKvBytes size of the KV cache as the prefill server estimates it from earlier prefills, 0 if there
     *     was none; preferred to the configured size, which can be wrong without being noticed
     */
    ReserveDecode reservation(
            GenerationRequest request,
            RequestContext context,
            FirstTokenTarget target,
            GatewayCore core,
            long reportedKvBytes) {
        return ReserveDecode.newBuilder()
                .setRequest(requestInfo(request, context, target, core))
                .setKvBytes(reportedKvBytes > 0 ? reportedKvBytes : kvBytes)
                .setTimeToLiveMs(Math.min(MAX_RESERVATION_MS, context.remainingMs(core.clock())))
                .build();
    }
}
