package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.coordination.forwarding.backend.BackendListener;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.jboss.logging.Logger;

/**
 * Takes an answer that changes nothing, such as that to the release of a prefill that expires by itself.
 *
 * <p>Stateless and thread-safe.
 */
enum IgnoredAnswer implements BackendListener {
    INSTANCE;

    private static final Logger LOG = Logger.getLogger(IgnoredAnswer.class);

    @Override
    public void onHead(HttpResponse head) {
        // The status changes nothing: what is not released expires.
    }

    @Override
    public void onData(ByteBuf data) {
        data.release();
    }

    @Override
    public void onEnd() {
        // Nothing waits for the end.
    }

    @Override
    public void onFailure(Failure failure, String reason) {
        LOG.debugf("A prefill result was not released: %s", reason);
    }
}
