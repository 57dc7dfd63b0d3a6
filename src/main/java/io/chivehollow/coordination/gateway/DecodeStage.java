package io.chivehollow.coordination.gateway;

import com.google.protobuf.ByteString;
import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.DecodeReserved;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.GenerationDone;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.PrefillDone;
import io.chivehollow.protocol.wire.ReserveDecode;
import io.chivehollow.protocol.wire.StartDecode;
import io.chivehollow.protocol.wire.Tokens;
import io.chivehollow.transport.CallListener;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.TransportException;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to decode at one backend server: a reservation, followed by the stream of tokens.
 *
 * <p>Thread-safe, provided that the listener serializes the calls to it. The reservation is released when the call
 * ends.
 */
final class DecodeStage implements CallListener {

    private final Target target;
    private final Listener listener;
    private final SidecarCall call;
    private volatile @Nullable DecodeReserved reservation;

    private DecodeStage(ConnectionPool connections, Target target, ReserveDecode reserve, Listener listener) {
        this.target = target;
        this.listener = listener;
        this.call = SidecarCall.create(connections, target, Frame.newBuilder().setReserveDecode(reserve), this);
    }

    /** Returns a stage that requests the reservation when {@link #reserve} is called. */
    static DecodeStage create(ConnectionPool connections, Target target, ReserveDecode reserve, Listener listener) {
        return new DecodeStage(connections, target, reserve, listener);
    }

    Target target() {
        return target;
    }

    void reserve() {
        call.open();
    }

    boolean isReserved() {
        return reservation != null;
    }

    /** Returns the number of leading prompt tokens that the engine has cached, as reported by its sidecar. */
    int cachedPrefixTokens() {
        DecodeReserved granted = reservation;
        // The field is unsigned on the wire.
        return granted == null ? 0 : Math.max(0, granted.getCachedPrefixTokens());
    }

    /**
     * Starts the generation.
     *
     * @param prefill result of the prefill; with the default instance the decode engine prefills the prompt itself
     */
    void start(PrefillDone prefill, byte[] body, String path) {
        DecodeReserved granted = reservation;
        if (granted == null) {
            throw new IllegalStateException("the decode server has not granted a reservation");
        }
        call.send(Frame.newBuilder()
                .setStartDecode(StartDecode.newBuilder()
                        .setReservationId(granted.getReservationId())
                        .setHandle(prefill.getHandle())
                        .setSourceAddress(prefill.getSourceAddress())
                        .setBody(ByteString.copyFrom(body))
                        .setPath(path)));
    }

    void cancel() {
        call.cancel();
    }

    @Override
    public void onFrame(Frame frame) {
        switch (frame.getBodyCase()) {
            case DECODE_RESERVED -> {
                DecodeReserved granted = frame.getDecodeReserved();
                reservation = granted;
                listener.onReserved(this, granted.hasLoad() ? granted.getLoad() : null);
            }
            case TOKENS -> listener.onTokens(this, frame.getTokens());
            case GENERATION_DONE -> listener.onGenerated(this, frame.getGenerationDone());
            default -> listener.onDecodeFailed(
                    this,
                    TransportException.mayHaveRun(
                            ErrorCode.BACKEND_FAILED,
                            "Expected DECODE_RESERVED, TOKENS or GENERATION_DONE from the sidecar, but got "
                                    + frame.getBodyCase()),
                    null);
        }
    }

    @Override
    public void onFailure(TransportException failure) {
        listener.onDecodeFailed(this, failure, failure.load());
    }

    /** Receives the events of a decode stage. */
    interface Listener {

        void onReserved(DecodeStage stage, @Nullable Load load);

        void onTokens(DecodeStage stage, Tokens tokens);

        void onGenerated(DecodeStage stage, GenerationDone done);

        void onDecodeFailed(DecodeStage stage, ChivehollowException failure, @Nullable Load load);
    }
}
