package io.chivehollow.coordination.gateway;

import com.google.protobuf.ByteString;
import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.AdmitPrefill;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.PrefillDone;
import io.chivehollow.protocol.wire.PrefillReady;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.protocol.wire.StartPrefill;
import io.chivehollow.transport.CallListener;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.TransportException;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to prefill a prompt at one backend server.
 *
 * <p>Thread-safe. Invariant: the engine can have received the prompt only after {@link #start}.
 */
final class PrefillStage implements CallListener {

    private final Target target;
    private final Listener listener;
    private final SidecarCall call;

    private PrefillStage(ConnectionPool connections, Target target, RequestInfo request, Listener listener) {
        this.target = target;
        this.listener = listener;
        Frame.Builder first =
                Frame.newBuilder().setAdmitPrefill(AdmitPrefill.newBuilder().setRequest(request));
        this.call = SidecarCall.create(connections, target, first, this);
    }

    /** Returns a stage that requests admission when {@link #admit} is called. */
    static PrefillStage create(ConnectionPool connections, Target target, RequestInfo request, Listener listener) {
        return new PrefillStage(connections, target, request, listener);
    }

    Target target() {
        return target;
    }

    void admit() {
        call.open();
    }

    void start(byte[] body, String path, String decodeAddress) {
        call.send(Frame.newBuilder()
                .setStartPrefill(StartPrefill.newBuilder()
                        .setBody(ByteString.copyFrom(body))
                        .setPath(path)
                        .setDecodeAddress(decodeAddress)));
    }

    void cancel() {
        call.cancel();
    }

    @Override
    public void onFrame(Frame frame) {
        switch (frame.getBodyCase()) {
            case PREFILL_READY -> listener.onPrefillReady(this, frame.getPrefillReady());
            case PREFILL_DONE -> listener.onPrefilled(this, frame.getPrefillDone());
            default -> listener.onPrefillFailed(
                    this,
                    TransportException.mayHaveRun(
                            ErrorCode.BACKEND_FAILED,
                            "Expected PREFILL_READY or PREFILL_DONE from the sidecar, but got " + frame.getBodyCase()),
                    null);
        }
    }

    @Override
    public void onFailure(TransportException failure) {
        listener.onPrefillFailed(this, failure, failure.load());
    }

    /** Receives the events of a prefill stage. */
    interface Listener {

        void onPrefillReady(PrefillStage stage, PrefillReady ready);

        void onPrefilled(PrefillStage stage, PrefillDone done);

        void onPrefillFailed(PrefillStage stage, ChivehollowException failure, @Nullable Load load);
    }
}
