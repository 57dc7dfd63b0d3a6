package io.chivehollow.coordination.gateway;

import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.DecodeReserved;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.GenerationDone;
import io.chivehollow.protocol.wire.PrefillDone;
import io.chivehollow.protocol.wire.PrefillReady;
import io.chivehollow.protocol.wire.Tokens;
import io.chivehollow.transport.CallHandler;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;

/**
 * A sidecar that responds with random delays, refusals and failures. The output of a request repeats a word of its
 * prompt, so that a test can attribute it to the request.
 *
 * <p>Thread-safe.
 */
final class RandomSidecar implements CallHandler {

    static final int OUTPUT_FRAMES = 5;

    private static final int FAILURE_PERCENT = 8;

    private final Random random;
    private final ScheduledExecutorService executor;
    final AtomicInteger openCalls = new AtomicInteger();

    RandomSidecar(long seed, ScheduledExecutorService executor) {
        this.random = new Random(seed);
        this.executor = executor;
    }

    @Override
    public ServerCallListener onCall(ServerCall server, Frame first) {
        Call call = new Call(server);
        openCalls.incrementAndGet();
        call.onFrame(first);
        return call;
    }

    /** One call; its lock orders its responses. */
    private final class Call implements ServerCallListener {

        private final ServerCall server;
        private boolean hasEnded;

        Call(ServerCall server) {
            this.server = server;
        }

        @Override
        public void onFrame(Frame frame) {
            executor.schedule(() -> respond(frame), random.nextInt(3), TimeUnit.MILLISECONDS);
        }

        @Override
        public synchronized void onCancel() {
            end();
        }

        private void end() {
            if (!hasEnded) {
                hasEnded = true;
                openCalls.decrementAndGet();
            }
        }

        private synchronized void respond(Frame frame) {
            if (hasEnded) {
                return;
            }
            boolean isStart = frame.hasStartPrefill() || frame.hasStartDecode();
            if (random.nextInt(100) < FAILURE_PERCENT) {
                end();
                server.fail(isStart ? ErrorCode.BACKEND_FAILED : ErrorCode.OVERLOADED, "random", !isStart);
                return;
            }
            switch (frame.getBodyCase()) {
                case ADMIT_PREFILL -> server.send(
                        Frame.newBuilder().setPrefillReady(PrefillReady.getDefaultInstance()));
                case RESERVE_DECODE -> server.send(Frame.newBuilder()
                        .setDecodeReserved(DecodeReserved.newBuilder().setReservationId("r")));
                case START_PREFILL -> server.send(Frame.newBuilder()
                        .setPrefillDone(PrefillDone.newBuilder().setHandle("h").setExpiresMs(60_000)));
                case START_DECODE -> stream(frame.getStartDecode().getBody().toStringUtf8());
                default -> throw new AssertionError(frame.getBodyCase());
            }
        }

        private void stream(String body) {
            String word = body.replaceAll("(?s).*word-(\\d+)-.*", "$1");
            int frames = random.nextInt(100) < FAILURE_PERCENT ? random.nextInt(OUTPUT_FRAMES) : OUTPUT_FRAMES;
            for (int i = 0; i < frames; i++) {
                // Sends each pair of frames in reverse order; a last frame without a partner keeps its position.
                int sequence = i + 1 < frames && i % 2 == 0 ? i + 1 : i % 2 == 1 ? i - 1 : i;
                server.send(Frame.newBuilder()
                        .setTokens(Tokens.newBuilder()
                                .setSequence(sequence)
                                .setCount(1)
                                .setText(word + "." + sequence + " ")));
            }
            end();
            if (frames < OUTPUT_FRAMES) {
                server.fail(ErrorCode.BACKEND_FAILED, "random", false);
                return;
            }
            server.finish(Frame.newBuilder()
                    .setGenerationDone(
                            GenerationDone.newBuilder().setOutputTokens(frames).setFinishReason("stop")));
        }
    }
}
