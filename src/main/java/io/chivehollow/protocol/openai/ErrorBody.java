package io.chivehollow.protocol.openai;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chivehollow.base.ErrorCode;

/**
 * The JSON error object in the responses to callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code error code; also determines the HTTP status
 * @param message human-readable explanation
 * @param notRun whether the request has certainly not been run
 * @param requestId id of the request
 */
public record ErrorBody(ErrorCode code, String message, boolean notRun, String requestId) {

    /** Returns the body as JSON in UTF-8. */
    public byte[] toBytes() {
        return Json.toBytes(toJson());
    }

    ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.putObject("error")
                .put("code", code.wireName())
                .put("message", message)
                .put("type", type())
                .put("not_run", notRun)
                .put("request_id", requestId);
        return root;
    }

    private String type() {
        int status = code.httpStatus();
        if (status == 401 || status == 403) {
            return "authentication_error";
        }
        if (status == 429) {
            return "rate_limit_error";
        }
        return status < 500 ? "invalid_request_error" : "server_error";
    }
}
