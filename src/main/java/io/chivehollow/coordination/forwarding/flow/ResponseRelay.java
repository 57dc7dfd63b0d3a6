package io.chivehollow.coordination.forwarding.flow;

import java.util.OptionalLong;

import io.chivehollow.protocol.wire.ForwardRoute;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Passes the response of a backend server on to the caller.
 *
 * <p>Implementations are used on the event loop of the forwarding role only.
 */
interface ResponseRelay {

    /**
     * Passes on a part of the body; the buffer is released.
     *
     * @return false if the body exceeds the limits of the relay or does not continue what was passed on before, so that
     *     the response cannot be completed
     */
    boolean data(ByteBuf data);

    /**
     * Returns whether the response may end here, that is, whether no event is incomplete.
     *
     * @param isEndStated whether a length or chunks mark the end; if only the end of the connection does, a stream also
     *     needs an event of the current run
     */
    boolean isComplete(boolean isEndStated);

    /** Ends the response, which is complete. */
    void end();

    /** Discards received data that cannot be passed on because the response was interrupted. */
    void onInterrupted();

    /**
     * Returns whether a part of the response was sent to the caller. The relay then also takes the response of the next
     * backend server.
     */
    boolean hasStarted();

    /** Returns whether another backend server can resume the response at the point of interruption. */
    boolean canResume();

    /** Returns the number of events that the present run has sent, 0 if the response is not a stream. */
    default int eventsOfRun() {
        return 0;
    }

    /** Returns the id of the last event that was sent to the caller, or an empty value if it has no numeric id. */
    OptionalLong lastEventId();

    /** Releases the buffered data. */
    void release();

    /** Returns the relay that is in use until the first response arrives. */
    static ResponseRelay none() {
        return NoResponse.INSTANCE;
    }

    /** Returns a relay for a response on the given route; the runnable is run before the first byte is sent. */
    static ResponseRelay of(
            ForwardRoute route, int status, HttpHeaders headers, CallerSink sink, Runnable onFirstByte) {
        boolean isStream = route.getStreaming() && status == ResponseChecks.OK;
        return isStream
                ? new StreamRelay(route.getResumable(), status, headers, sink, onFirstByte)
                : new BufferedRelay(status, headers, sink, onFirstByte);
    }
}
