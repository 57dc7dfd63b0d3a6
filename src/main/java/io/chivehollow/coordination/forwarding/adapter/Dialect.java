package io.chivehollow.coordination.forwarding.adapter;

import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Translates between the HTTP messages of a platform and the values that the router uses.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface Dialect {

    /** Parses the header of a caller's request. */
    CallerFields readRequest(HttpHeaders headers);

    /**
     * Changes a copy of the caller's header into the header for a backend server. Fields that only the router may set
     * are replaced or removed, whatever the caller sent.
     */
    void setBackendHeaders(HttpHeaders copy, BackendFields fields);

    /** Returns the request id in the header of a request or response, or null if it states none. */
    @Nullable
    String requestId(HttpHeaders headers);

    /** Parses the header of a backend server's response. */
    ResponseFields readResponse(int status, HttpHeaders headers);

    /** Removes the fields of a backend server's response that are not meant for callers. */
    void removeInternalHeaders(HttpHeaders copy);

    /**
     * Parses the response to a prefill.
     *
     * @throws IllegalArgumentException if the response is not JSON or names no handle
     */
    PrefillResult readPrefillResponse(byte[] body);

    /** Returns the request that releases the result of a prefill; like all requests of the router, with its own id. */
    FullHttpRequest releasePrefill(String backendServer, String handle);

    /** Returns the request that reserves memory for the given number of tokens and milliseconds. */
    FullHttpRequest reserve(String backendServer, long tokens, long timeMs);

    /** Returns the id of the granted reservation, or an empty value if the response contains none. */
    Optional<String> readReservation(byte[] body);

    /** Returns the request that releases a memory reservation. */
    FullHttpRequest releaseReservation(String backendServer, String reservation);

    /**
     * Returns the command to change the pool role; the fencing number must be higher than those of all earlier commands
     * to the backend server.
     */
    FullHttpRequest changeRole(String backendServer, BackendEntry.Role role, String holder, long number);

    /**
     * Returns a request that is meant for no run, so that each run refuses it at once without running it. The response
     * shows that the run is alive.
     */
    FullHttpRequest probe();

    /** Returns the value of the header field that states after how many milliseconds a caller may retry. */
    String retryAfter(long timeMs);

    /** Returns the text from which a decode server derives where to fetch a prefill result. */
    String transferSource(String address, String handle);
}
