package io.chivehollow.coordination.forwarding.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.jboss.logging.Logger;

/**
 * Takes a short answer as a whole.
 *
 * <p>Invariant: the receiver is called once, with {@link #NO_STATUS} if there is no complete answer. Used on the event
 * loop of the forwarding role only.
 */
public final class ShortAnswer implements BackendListener {

    /** Stands for an answer that did not come. */
    public static final int NO_STATUS = 0;

    /** Answers to the router's own calls take a round trip, some milliseconds; the rest is for a busy server. */
    public static final int TIMEOUT_MS = 250;

    private static final Logger LOG = Logger.getLogger(ShortAnswer.class);

    private final Receiver receiver;
    private final BodyCollector body = new BodyCollector();
    private int status;

    /** Returns a listener that hands the whole answer to the receiver. */
    public ShortAnswer(Receiver receiver) {
        this.receiver = receiver;
    }

    @Override
    public void onHead(HttpResponse head) {
        status = head.status().code();
    }

    @Override
    public void onData(ByteBuf data) {
        body.add(data);
    }

    @Override
    public void onEnd() {
        receiver.onAnswer(status, body.bytes());
    }

    @Override
    public void onFailure(Failure failure, String reason) {
        LOG.debugf("A call to a backend server has no answer: %s, %s", failure, reason);
        receiver.onAnswer(NO_STATUS, new byte[0]);
    }

    /** Takes the whole answer. */
    @FunctionalInterface
    public interface Receiver {

        /** Takes the status, or {@link #NO_STATUS}, and the body. */
        void onAnswer(int status, byte[] body);
    }
}
