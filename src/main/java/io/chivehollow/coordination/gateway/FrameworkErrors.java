package io.chivehollow.coordination.gateway;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.metrics.GatewayMetrics;
import io.chivehollow.protocol.openai.ErrorBody;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;

/**
 * Converts errors that the HTTP framework detects itself to the error format of all other errors.
 *
 * <p>Thread-safe.
 */
@Singleton
@Requires(beans = GatewayCore.class)
final class FrameworkErrors implements ErrorResponseProcessor<byte[]> {

    private static final int FIRST_SERVER_ERROR = 500;

    private final GatewayCore core;

    FrameworkErrors(GatewayCore core) {
        this.core = core;
    }

    @Override
    public MutableHttpResponse<byte[]> processResponse(ErrorContext context, MutableHttpResponse<?> response) {
        ErrorCode code = codeOf(response.code());
        boolean notRun = code != ErrorCode.INTERNAL;
        core.metrics().countFailed(GatewayMetrics.NO_TEAM, code, notRun);
        String message = notRun ? "The HTTP framework rejected the request: " + code.wireName() : "Internal error";
        ErrorBody error =
                new ErrorBody(code, message, notRun, core.newRequestId().value());
        MutableHttpResponse<byte[]> errorResponse =
                response.status(code.httpStatus(), code.wireName()).body(error.toBytes());
        return errorResponse
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .header(HttpExchange.REQUEST_ID_HEADER, error.requestId());
    }

    private static ErrorCode codeOf(int status) {
        if (status >= FIRST_SERVER_ERROR) {
            return ErrorCode.INTERNAL;
        }
        return switch (status) {
            case 404 -> ErrorCode.ROUTE_NOT_FOUND;
            case 405 -> ErrorCode.METHOD_NOT_ALLOWED;
            case 413 -> ErrorCode.BODY_TOO_LARGE;
            case 431 -> ErrorCode.HEADER_TOO_LARGE;
            default -> ErrorCode.INVALID_REQUEST;
        };
    }
}
