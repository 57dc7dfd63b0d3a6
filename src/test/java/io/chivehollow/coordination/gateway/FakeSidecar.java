package io.chivehollow.coordination.gateway;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.DecodeReserved;
import io.chivehollow.protocol.wire.Failure;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.GenerationDone;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.PrefillDone;
import io.chivehollow.protocol.wire.PrefillReady;
import io.chivehollow.protocol.wire.Tokens;
import io.chivehollow.transport.CallHandler;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import io.chivehollow.transport.TransportOptions;
import io.netty.channel.EventLoopGroup;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

/** A sidecar whose responses a test sends one by one. */
final class FakeSidecar implements CallHandler, AutoCloseable {

    /** A wait longer than this fails the test; the result of a test does not depend on a shorter time. */
    static final int MAX_WAIT_S = 10;

    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> received = new LinkedBlockingQueue<>();
    private final FrameServer server;
    private final String name;
    private volatile CallHandler delegate;

    FakeSidecar(String name, byte[] secret, EventLoopGroup loops) {
        this.name = name;
        TransportOptions options = TransportOptions.of(InstanceId.of(name), "sidecar", secret);
        server = FrameServer.start(new InetSocketAddress("127.0.0.1", 0), options, loops, this);
    }

    InetSocketAddress address() {
        return server.address();
    }

    @Override
    public ServerCallListener onCall(ServerCall call, Frame first) {
        CallHandler other = delegate;
        if (other != null) {
            return other.onCall(call, first);
        }
        Call opened = new Call(call, first);
        received.add(first);
        calls.add(opened);
        return opened;
    }

    /** Passes all further calls to another handler. */
    <T extends CallHandler> T delegateTo(T handler) {
        delegate = handler;
        return handler;
    }

    /** Waits for the next call, asserts its type and returns it. */
    Call next(Frame.BodyCase expected) throws InterruptedException {
        Call call = calls.poll(MAX_WAIT_S, TimeUnit.SECONDS);
        assertNotNull(call, "no call of " + expected);
        assertEquals(call.firstFrame.getBodyCase(), expected);
        return call;
    }

    /** Returns the number of received calls that {@link #next} has not returned yet. */
    int pendingCalls() {
        return calls.size();
    }

    /** Returns all frames that the gateway has sent, as text. */
    String receivedText() {
        StringBuilder text = new StringBuilder();
        received.forEach(frame -> text.append(frame.toByteString().toStringUtf8()));
        return text.toString();
    }

    @Override
    public void close() {
        server.close();
    }

    /** One call by the gateway. */
    final class Call implements ServerCallListener {

        final ServerCall server;
        final Frame firstFrame;
        private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
        private final CountDownLatch cancelled = new CountDownLatch(1);

        Call(ServerCall server, Frame firstFrame) {
            this.server = server;
            this.firstFrame = firstFrame;
        }

        @Override
        public void onFrame(Frame frame) {
            received.add(frame);
            frames.add(frame);
        }

        @Override
        public void onCancel() {
            cancelled.countDown();
        }

        String name() {
            return name;
        }

        Frame nextFrame(Frame.BodyCase expected) throws InterruptedException {
            Frame frame = frames.poll(MAX_WAIT_S, TimeUnit.SECONDS);
            assertNotNull(frame, "no frame " + expected);
            assertEquals(frame.getBodyCase(), expected);
            return frame;
        }

        void awaitCancel() throws InterruptedException {
            assertTrue(cancelled.await(MAX_WAIT_S, TimeUnit.SECONDS), "no cancel of " + firstFrame.getBodyCase());
        }

        boolean isCancelled() {
            return cancelled.getCount() == 0;
        }

        void sendPrefillReady() {
            sendPrefillReady(0);
        }

        void sendPrefillReady(int cachedPrefixTokens) {
            server.send(Frame.newBuilder()
                    .setPrefillReady(PrefillReady.newBuilder().setCachedPrefixTokens(cachedPrefixTokens)));
        }

        void sendLatePrefillReady() {
            server.send(
                    Frame.newBuilder().setPrefillReady(PrefillReady.newBuilder().setLate(true)));
        }

        void sendPrefillDone(String handle) {
            server.finish(Frame.newBuilder()
                    .setPrefillDone(PrefillDone.newBuilder()
                            .setHandle(handle)
                            .setPromptTokens(7)
                            .setExpiresMs(60_000)));
        }

        void sendDecodeReserved(String id) {
            sendDecodeReserved(id, 0);
        }

        void sendDecodeReserved(String id, int cachedPrefixTokens) {
            server.send(Frame.newBuilder()
                    .setDecodeReserved(DecodeReserved.newBuilder()
                            .setReservationId(id)
                            .setCachedPrefixTokens(cachedPrefixTokens)));
        }

        void sendTokens(int sequence, String text) {
            server.send(Frame.newBuilder()
                    .setTokens(Tokens.newBuilder()
                            .setSequence(sequence)
                            .setText(text)
                            .setCount(1)));
        }

        void sendGenerationDone(int outputTokens) {
            server.finish(Frame.newBuilder()
                    .setGenerationDone(GenerationDone.newBuilder()
                            .setPromptTokens(7)
                            .setOutputTokens(outputTokens)
                            .setFinishReason("stop")));
        }

        void refuse(ErrorCode code) {
            server.fail(code, "refused by the fake", true);
        }

        void refuseWithQueue(int queuedMs) {
            server.fail(Failure.newBuilder()
                    .setCode(ErrorCode.OVERLOADED.wireName())
                    .setNotRun(true)
                    .setLoad(Load.newBuilder().setQueuedMs(queuedMs))
                    .build());
        }

        void refuseWithEstimatedWait(int waitMs) {
            server.fail(Failure.newBuilder()
                    .setCode(ErrorCode.OVERLOADED.wireName())
                    .setNotRun(true)
                    .setLoad(Load.newBuilder().setWaitMs(waitMs).setQueuedMs(Integer.MAX_VALUE))
                    .build());
        }

        void fail(ErrorCode code) {
            server.fail(code, "failed by the fake", false);
        }
    }
}
