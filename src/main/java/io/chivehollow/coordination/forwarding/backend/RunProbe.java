package io.chivehollow.coordination.forwarding.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Receives the response to a probe; it shows that the run which sends it is alive.
 *
 * <p>Invariant: the receiver is called once. Used on the event loop of the forwarding role only.
 */
final class RunProbe implements BackendListener {

    private final BackendConnections connections;
    private final Backend backend;
    private final Receiver receiver;
    private @Nullable BackendCall call;
    private boolean isExpectedRun;

    RunProbe(BackendConnections connections, Backend backend, Receiver receiver) {
        this.connections = connections;
        this.backend = backend;
        this.receiver = receiver;
    }

    void setCall(BackendCall sent) {
        call = sent;
    }

    @Override
    public void onHead(HttpResponse head) {
        String stated = connections.readHead(backend, head).backendServer();
        isExpectedRun = stated == null || stated.equals(backend.id());
        if (!ResponseFraming.isStated(head)) {
            // The head is enough, and the connection ends with the response.
            if (call != null) {
                call.cancel();
            }
            receiver.onResult(isExpectedRun, null);
        }
    }

    @Override
    public boolean onData(ByteBuf data) {
        data.release();
        return true;
    }

    @Override
    public boolean isEndInContent() {
        return true;
    }

    @Override
    public void onEnd() {
        receiver.onResult(isExpectedRun, call == null ? null : call.reusableChannel());
    }

    @Override
    public void onFailure(Failure failure, String reason) {
        receiver.onResult(false, null);
    }

    /** Receives the result of a probe. */
    @FunctionalInterface
    interface Receiver {

        /**
         * Called once.
         *
         * @param isAlive whether the run has responded
         * @param reusable the probed connection if it can carry a further probe, else null
         */
        void onResult(boolean isAlive, @Nullable Channel reusable);
    }
}
