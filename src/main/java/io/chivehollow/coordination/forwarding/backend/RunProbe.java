package io.chivehollow.coordination.forwarding.backend;

import java.util.function.Consumer;

import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Receives the response to a probe; its head shows that the run which sends it is alive.
 *
 * <p>Invariant: the receiver is called once. Used on the event loop of the forwarding role only.
 */
final class RunProbe implements BackendListener {

    private final Dialect dialect;
    private final String backendServer;
    private final Consumer<Boolean> receiver;
    private @Nullable BackendCall call;

    RunProbe(Dialect dialect, String backendServer, Consumer<Boolean> receiver) {
        this.dialect = dialect;
        this.backendServer = backendServer;
        this.receiver = receiver;
    }

    void setCall(BackendCall sent) {
        call = sent;
    }

    @Override
    public void onHead(HttpResponse head) {
        String stated =
                dialect.readResponse(head.status().code(), head.headers()).backendServer();
        if (call != null) {
            call.cancel();
        }
        receiver.accept(stated == null || stated.equals(backendServer));
    }

    @Override
    public boolean onData(ByteBuf data) {
        data.release();
        return true;
    }

    @Override
    public void onEnd() {
        // The call was cancelled at the head of its response.
    }

    @Override
    public void onFailure(Failure failure, String reason) {
        receiver.accept(false);
    }
}
