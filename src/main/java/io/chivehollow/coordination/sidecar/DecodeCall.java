package io.chivehollow.coordination.sidecar;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.protocol.engine.EngineException;
import io.chivehollow.protocol.engine.EngineRequest;
import io.chivehollow.protocol.engine.GenerationResult;
import io.chivehollow.protocol.wire.DecodeReserved;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.GenerationDone;
import io.chivehollow.protocol.wire.Release;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.protocol.wire.ReserveDecode;
import io.chivehollow.protocol.wire.StartDecode;
import io.chivehollow.protocol.wire.Tokens;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import org.jspecify.annotations.Nullable;

/**
 * One generation from its reservation to its end.
 *
 * <p>A StartDecode without a KV cache handle lets the engine prefill the prompt itself; such a call waits in the queue
 * of {@link DecodeCalls}. The listener methods are thread-safe; everything else is used on the sidecar's event loop.
 * Invariants: the lease is held from the reservation until the engine has confirmed that it holds nothing for the
 * request any more; GenerationDone is sent only if the engine itself has ended the response.
 */
final class DecodeCall implements ServerCallListener {

    private enum State {
        NEW,
        RESERVED,
        QUEUED,
        RUNNING,
        ENDED
    }

    private static final int MIN_TTL_MS = 100;

    /**
     * Longest lifetime of a reservation. It limits how long a gateway can keep memory idle, and is long enough for the
     * prefill of a context of 100,000 tokens.
     */
    private static final int MAX_TTL_MS = 15_000;

    /**
     * Time for which a reservation may still be used after the backend server has started to drain. Together with the
     * 2.5 s bound on the age of the configuration it keeps the target that a draining server starts its last new work
     * within 3 s.
     */
    private static final int DRAINING_GRACE_MS = 500;

    private final SidecarContext context;
    private final DecodeCalls calls;
    private final ServerCall call;
    private final RequestInfo request;
    private final int ttlMs;
    private final long kvBytes;
    private final EngineResources<GenerationResult> resources;
    private State state = State.NEW;
    private @Nullable KeyCheck keyCheck;
    private @Nullable RequestId engineId;
    private @Nullable StartDecode start;
    private int tokens;
    private long startedMs;
    private long firstTokenMs;
    private long lastTokenMs;
    private long drainingSinceMs = -1;

    DecodeCall(SidecarContext context, DecodeCalls calls, ServerCall call, ReserveDecode message) {
        this.context = context;
        this.resources = new EngineResources<>(context);
        this.calls = calls;
        this.call = call;
        this.request = message.getRequest();
        this.ttlMs = Math.max(MIN_TTL_MS, Math.min(MAX_TTL_MS, message.getTimeToLiveMs()));
        this.kvBytes = message.getKvBytes();
    }

    RequestInfo request() {
        return request;
    }

    void begin() {
        if (context.refuseIfUnavailable(call, !request.getTeam().isEmpty())) {
            state = State.ENDED;
            return;
        }
        RequestId id = context.newEngineId(request.getRequestId());
        if (!reserve(id)) {
            state = State.ENDED;
            return;
        }
        engineId = id;
        state = State.RESERVED;
        keyCheck = new KeyCheck(context.admission(), request.getKeyId());
        calls.add(this);
        resources.schedule(ttlMs, this::onReservationExpired);
        call.send(Frame.newBuilder()
                .setDecodeReserved(DecodeReserved.newBuilder()
                        .setReservationId(id.value())
                        .setBlocks(blocks())
                        .setCachedPrefixTokens(calls.cachedPrefixTokens(request))
                        .setLoad(context.load())));
    }

    private int blocks() {
        return context.capacity().blocksFor((long) request.getPromptTokens() + request.getMaxOutputTokens());
    }

    private boolean reserve(RequestId id) {
        EngineCapacity capacity = context.capacity();
        if (blocks() > capacity.totalBlocks()) {
            context.fail(
                    call,
                    ErrorCode.CONTEXT_LENGTH_EXCEEDED,
                    "The prompt and the output need more memory blocks than the engine has",
                    true);
            return false;
        }
        boolean isLinkUsed = context.isEnabled(SidecarSafeguard.LINK_BUDGET);
        if (isLinkUsed && calls.link().isTooLarge(kvBytes)) {
            context.fail(
                    call,
                    ErrorCode.CONTEXT_LENGTH_EXCEEDED,
                    "The KV cache of the prompt is too large to be transferred before the prefill result expires",
                    true);
            return false;
        }
        if (!capacity.hasFreeSlot()) {
            ErrorCode code = capacity.isCold() ? ErrorCode.COLD : ErrorCode.OVERLOADED;
            context.fail(call, code, "The engine runs as many requests as it may run concurrently", true);
            return false;
        }
        if (isLinkUsed && !calls.link().tryPlan(id, kvBytes)) {
            context.fail(
                    call,
                    ErrorCode.OVERLOADED,
                    "The planned transfers would delay the KV cache until the prefill result has expired",
                    true);
            return false;
        }
        TeamId team = TeamId.of(request.getTeam());
        Priority priority = PrefillCalls.priorityOf(request);
        boolean areSharesUsed = context.isEnabled(SidecarSafeguard.MEMORY_SHARES);
        if (areSharesUsed && !capacity.mayReserve(team, context.admission().weight(team), priority, blocks())) {
            calls.link().remove(id);
            context.fail(call, ErrorCode.OVERLOADED, "The team has reached its share of the engine's memory", true);
            return false;
        }
        Lease lease = capacity.tryReserve(id, call.connectionId(), blocks()).orElse(null);
        if (lease == null) {
            calls.link().remove(id);
            context.fail(call, ErrorCode.OVERLOADED, "Not enough memory blocks of the engine are free", true);
            return false;
        }
        resources.setLease(lease);
        capacity.onReserved(lease, team, priority, blocks());
        return true;
    }

    private void onReservationExpired() {
        if (state == State.RESERVED) {
            endNotRun(ErrorCode.RESERVATION_EXPIRED, "The reservation expired before StartDecode arrived");
        }
    }

    @Override
    public void onFrame(Frame frame) {
        context.run(() -> {
            if (frame.hasStartDecode() && state == State.RESERVED) {
                start(frame.getStartDecode());
            } else if (frame.hasRelease() && state != State.ENDED) {
                cancel();
                call.finish(Frame.newBuilder().setRelease(Release.getDefaultInstance()));
            }
        });
    }

    @Override
    public void onCancel() {
        context.run(this::cancel);
    }

    private void start(StartDecode message) {
        RequestId id = engineId;
        if (id == null || !message.getReservationId().equals(id.value())) {
            endNotRun(
                    ErrorCode.INVALID_REQUEST,
                    "The reservation id of StartDecode does not match the reservation of the call");
            return;
        }
        start = message;
        resources.cancelTimer();
        if (!isDirect()) {
            sendToEngine();
            return;
        }
        state = State.QUEUED;
        calls.enqueue(this);
        calls.advance();
    }

    /** Returns whether the engine prefills the prompt itself. */
    private boolean isDirect() {
        return start != null && start.getHandle().isEmpty();
    }

    void sendToEngine() {
        StartDecode message = start;
        RequestId id = engineId;
        Lease lease = resources.lease();
        if (message == null || id == null || lease == null) {
            throw new IllegalStateException("request must have a reservation and a StartDecode");
        }
        if (!context.capacity().tryStart(lease)) {
            endNotRun(ErrorCode.COLD, "The engine has turned cold since the reservation");
            return;
        }
        state = State.RUNNING;
        startedMs = context.nowMs();
        if (context.isEnabled(SidecarSafeguard.TRANSFER_TIMEOUT)) {
            resources.schedule(context.options().transferTimeoutMs(), this::onFirstTokenTimeout);
        }
        EngineRequest engineRequest =
                new EngineRequest(id, message.getPath(), message.getBody().toByteArray());
        resources.track(
                context.engine()
                        .generate(
                                engineRequest,
                                message.getHandle(),
                                (text, count) -> context.run(() -> onTokens(text, count))),
                this::onDone,
                this::onEngineFailure);
    }

    private void onFirstTokenTimeout() {
        if (state != State.RUNNING || tokens > 0) {
            return;
        }
        if (isDirect()) {
            // No KV cache was transferred, so the engine itself is slow.
            context.capacity().onFailure();
        }
        String message =
                isDirect() ? "The engine did not send the first token in time" : "The KV cache did not arrive in time";
        cancel();
        context.fail(call, ErrorCode.BACKEND_FAILED, message, false);
    }

    private void onTokens(String text, int count) {
        if (state != State.RUNNING) {
            return;
        }
        long nowMs = context.nowMs();
        if (tokens == 0) {
            resources.cancelTimer();
            firstTokenMs = nowMs;
            removePlannedTransfer();
            if (isDirect()) {
                calls.onPrefilled(this);
            }
        }
        lastTokenMs = nowMs;
        call.send(Frame.newBuilder()
                .setTokens(Tokens.newBuilder().setText(text).setCount(count).setSequence(tokens)));
        tokens += count;
    }

    private void onDone(GenerationResult result) {
        if (state != State.RUNNING) {
            return;
        }
        // The time to the first token includes the transfer, which does not depend on the speed of the engine.
        long serviceMs = tokens == 0 ? 0 : context.nowMs() - firstTokenMs;
        context.capacity().onSuccess(startedMs, serviceMs, result.outputTokens());
        if (isDirect()) {
            calls.adjustCharge(request, result.promptTokens());
        }
        end();
        resources.release();
        calls.advance();
        call.finish(Frame.newBuilder()
                .setGenerationDone(GenerationDone.newBuilder()
                        .setPromptTokens(result.promptTokens())
                        .setOutputTokens(result.outputTokens())
                        .setFinishReason(result.finishReason())
                        .setLoad(context.load())));
    }

    private void onEngineFailure(EngineException failure) {
        if (state != State.RUNNING) {
            return;
        }
        resources.recordFailure(failure);
        cancel();
        context.fail(call, failure.code(), failure.getMessage(), failure.isNotRun());
    }

    /** Ends the call and releases its resources in the sidecar and in the engine. */
    private void cancel() {
        if (state == State.ENDED) {
            return;
        }
        boolean isInEngine = state == State.RUNNING;
        end();
        resources.cancel(isInEngine, () -> {});
        calls.advance();
    }

    private void endNotRun(ErrorCode code, String message) {
        cancel();
        context.fail(call, code, message, true);
    }

    private void end() {
        state = State.ENDED;
        resources.cancelTimer();
        calls.remove(this);
        removePlannedTransfer();
    }

    private void removePlannedTransfer() {
        if (engineId != null) {
            calls.link().remove(engineId);
        }
    }

    void onEngineRestart() {
        boolean wasInEngine = state == State.RUNNING;
        end();
        resources.onEngineRestart();
        context.fail(
                call, ErrorCode.BACKEND_FAILED, "The engine restarted before the response was complete", !wasInEngine);
    }

    void sweep() {
        if (keyCheck != null && keyCheck.isWithdrawn()) {
            boolean wasInEngine = state == State.RUNNING;
            cancel();
            context.fail(call, ErrorCode.KEY_WITHDRAWN, "The API key was withdrawn during the request", !wasInEngine);
            return;
        }
        if (state == State.RESERVED || state == State.QUEUED) {
            cancelReservationIfDraining();
        }
    }

    private void cancelReservationIfDraining() {
        ReleasedAdmission.Refusal reason = context.admission().drainReason().orElse(null);
        if (reason == null) {
            drainingSinceMs = -1;
        } else if (drainingSinceMs < 0) {
            drainingSinceMs = context.nowMs();
        } else if (context.nowMs() - drainingSinceMs >= DRAINING_GRACE_MS) {
            endNotRun(reason.code(), reason.message());
        }
    }

    boolean isStreaming() {
        return state == State.RUNNING && tokens > 0;
    }

    /** Returns whether the next token of a stream is so late that the engine counts as cold. */
    boolean isNextTokenLate() {
        return isStreaming()
                && context.nowMs() - lastTokenMs > context.options().slowTokenMs();
    }
}
