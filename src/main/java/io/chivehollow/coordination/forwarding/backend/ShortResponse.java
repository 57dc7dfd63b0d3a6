package io.chivehollow.coordination.forwarding.backend;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.jboss.logging.Logger;

/**
 * Collects a short response and passes it on as a whole.
 *
 * <p>Invariant: the receiver is called once, with {@link #NO_STATUS} if there is no complete response. Used on the
 * event loop of the forwarding role only.
 */
public final class ShortResponse implements BackendListener {

    /** Status that stands for a missing response. */
    public static final int NO_STATUS = 0;

    /**
     * Timeout of the router's own calls in milliseconds. A response takes a round trip of some milliseconds; the rest
     * is for a busy server.
     */
    public static final int TIMEOUT_MS = 250;

    private static final Logger LOG = Logger.getLogger(ShortResponse.class);

    private final Consumer<HttpResponse> headReader;
    private final Receiver receiver;
    private final BodyCollector body = new BodyCollector();
    private int status;

    private ShortResponse(Consumer<HttpResponse> headReader, Receiver receiver) {
        this.headReader = headReader;
        this.receiver = receiver;
    }

    /** Returns a listener that passes the complete response of the backend server to the receiver. */
    public static ShortResponse of(Backend backend, Dialect dialect, LongSupplier nanoTime, Receiver receiver) {
        return new ShortResponse(head -> backend.readHead(dialect, head, nanoTime.getAsLong()), receiver);
    }

    @Override
    public void onHead(HttpResponse head) {
        status = head.status().code();
        headReader.accept(head);
    }

    @Override
    public boolean onData(ByteBuf data) {
        return body.add(data);
    }

    /** The body is JSON, or only the status counts. */
    @Override
    public boolean isEndInContent() {
        return true;
    }

    @Override
    public void onEnd() {
        receiver.onResponse(status, body.bytes());
    }

    @Override
    public void onFailure(Failure failure, String reason) {
        LOG.debugf("A call to a backend server got no response: %s, %s", failure, reason);
        receiver.onResponse(NO_STATUS, new byte[0]);
    }

    /** Receives the complete response. */
    @FunctionalInterface
    public interface Receiver {

        /** Called with the status, or {@link #NO_STATUS}, and the body, which is empty without a response. */
        void onResponse(int status, byte[] body);
    }
}
