package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;

import io.chivehollow.protocol.wire.ForwardRoute;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Passes the answer of a backend server on to the caller.
 *
 * <p>Implementations are used on the event loop of the forwarding role only.
 */
interface AnswerRelay {

    /** Takes a part of the body, which is released. */
    void data(ByteBuf data);

    /** Returns whether the answer may end here: no part of an event is missing. */
    boolean isWhole();

    /** Ends the answer, which is complete. */
    void end();

    /** Drops what cannot be passed on because the answer broke off. */
    void onBroken();

    /** Returns whether the caller has got a part of the answer; the relay then takes that of the next server, too. */
    boolean hasStarted();

    /** Returns whether another backend server can go on where this answer broke off. */
    boolean canGoOn();

    /** Returns the last event that the caller has got. */
    OptionalLong lastEventId();

    /** Frees what was kept. */
    void release();

    /** Returns a relay before the first answer. */
    static AnswerRelay none() {
        return NoAnswer.INSTANCE;
    }

    /** Returns the relay of an answer on the route. */
    static AnswerRelay of(ForwardRoute route, int status, HttpHeaders headers, CallerSink sink, Runnable onFirstByte) {
        boolean isStream = route.getStreaming() && status == AnswerChecks.OK;
        return isStream
                ? new StreamRelay(route.getResumable(), status, headers, sink, onFirstByte)
                : new WholeRelay(status, headers, sink, onFirstByte);
    }
}
