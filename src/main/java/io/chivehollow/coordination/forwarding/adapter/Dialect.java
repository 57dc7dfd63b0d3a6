package io.chivehollow.coordination.forwarding.adapter;

import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Translates the header fields of forwarded requests and answers.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface Dialect {

    /** Reads what a caller's request says. */
    CallerFields readRequest(HttpHeaders headers);

    /**
     * Turns a copy of the caller's header into the one for a backend server: fields that are the router's to set are
     * replaced or removed, whatever the caller sent.
     */
    void toBackend(HttpHeaders copy, BackendFields fields);

    /** Reads what the header of a backend server's answer says. */
    AnswerFields readAnswer(int status, HttpHeaders headers);

    /** Removes from a backend server's answer the fields that are not meant for callers. */
    void toCaller(HttpHeaders copy);

    /** Reads the answer to a prefill; throws {@link IllegalArgumentException} if it cannot be read. */
    PrefillResult readPrefill(byte[] body);

    /** Returns the request that frees the result of a prefill. */
    FullHttpRequest freePrefill(String backendServer, String handle);

    /** Returns the request that reserves memory for a while. */
    FullHttpRequest reserve(String backendServer, long tokens, long timeMs);

    /** Returns the name of the reservation that was made, or nothing if the answer names none. */
    Optional<String> readReservation(byte[] body);

    /** Returns the request that frees a reservation. */
    FullHttpRequest dropReservation(String backendServer, String reservation);

    /** Returns the order to change the stage, under a number that is higher than those of all earlier orders. */
    FullHttpRequest changeStage(String backendServer, BackendEntry.Role stage, String holder, long number);

    /** Returns the value of the field that tells a caller after which time to come back. */
    String retryAfter(long timeMs);

    /** Returns the text that names a prefill result to the backend server that is to fetch it. */
    String transferSource(String address, String handle);
}
