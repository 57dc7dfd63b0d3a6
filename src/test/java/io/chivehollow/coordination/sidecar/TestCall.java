package io.chivehollow.coordination.sidecar;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.transport.CallListener;
import io.chivehollow.transport.ClientCall;
import io.chivehollow.transport.ClientConnection;
import io.chivehollow.transport.TransportException;
import org.jspecify.annotations.Nullable;

/** A call to a sidecar that records the frames of its response; thread-safe. */
final class TestCall implements CallListener {

    private final List<Frame> frames = new CopyOnWriteArrayList<>();
    private volatile @Nullable TransportException failure;
    private volatile @Nullable ClientCall call;

    static TestCall open(ClientConnection connection, Frame.Builder first) {
        TestCall result = new TestCall();
        result.call = connection.open(first, result);
        return result;
    }

    @Override
    public void onFrame(Frame frame) {
        frames.add(frame);
    }

    @Override
    public void onFailure(TransportException reported) {
        failure = reported;
    }

    void send(Frame.Builder frame) {
        call.send(frame);
    }

    void cancel() {
        call.cancel();
    }

    List<Frame> frames() {
        return List.copyOf(frames);
    }

    @Nullable
    TransportException failure() {
        return failure;
    }

    boolean has(Predicate<Frame> predicate) {
        return frames.stream().anyMatch(predicate);
    }

    /** Waits for a frame and returns it; fails at once if the call fails instead. */
    Frame await(Predicate<Frame> predicate) {
        Await.until("frame", () -> has(predicate) || failure != null);
        return frames.stream()
                .filter(predicate)
                .findFirst()
                .orElseThrow(() -> new AssertionError("call failed without the expected frame", failure));
    }

    TransportException awaitFailure() {
        Await.until("failure", () -> failure != null);
        return failure;
    }

    /** Returns the text of all tokens received so far, and checks that none is missing or duplicated. */
    String text() {
        StringBuilder text = new StringBuilder();
        int expected = 0;
        for (Frame frame : frames) {
            if (frame.hasTokens()) {
                if (frame.getTokens().getSequence() != expected) {
                    throw new AssertionError("expected token " + expected + " but got " + frame);
                }
                expected += frame.getTokens().getCount();
                text.append(frame.getTokens().getText());
            }
        }
        return text.toString();
    }
}
