package io.chivehollow.cli;

import java.net.MalformedURLException;
import java.net.URL;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.StatusCodes;
import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import org.jspecify.annotations.Nullable;

/**
 * Calls the operator API of a gateway.
 *
 * <p>Not thread-safe.
 */
final class AdminClient implements AutoCloseable {

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(15);
    private static final JsonMapper MAPPER = new JsonMapper();

    private final HttpClient client;
    private final String operatorKey;
    private final String gateway;

    private AdminClient(HttpClient client, String gateway, String operatorKey) {
        this.client = client;
        this.gateway = gateway;
        this.operatorKey = operatorKey;
    }

    static AdminClient create(String gateway, String operatorKey) {
        DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setReadTimeout(READ_TIMEOUT);
        configuration.setMaxContentLength(Integer.MAX_VALUE);
        try {
            return new AdminClient(HttpClient.create(new URL(gateway), configuration), gateway, operatorKey);
        } catch (MalformedURLException e) {
            throw CliException.of(
                    ExitCode.INVALID,
                    ErrorCode.INVALID_REQUEST,
                    "--gateway must be a URL, but was \"" + gateway + "\": " + e.getMessage());
        }
    }

    /**
     * Returns the body of a successful response, or a missing node if the body is empty or not JSON.
     *
     * @throws CliException if the gateway responds with an error status or does not respond
     */
    JsonNode call(HttpMethod method, String path, byte @Nullable [] body) {
        MutableHttpRequest<Object> request = HttpRequest.create(method, path);
        request.bearerAuth(operatorKey);
        if (body != null) {
            request.body(body).contentType(MediaType.APPLICATION_JSON_TYPE);
        }
        try {
            HttpResponse<String> response =
                    client.toBlocking().exchange(request, Argument.of(String.class), Argument.of(String.class));
            checkStatus(response.code());
            return parse(response.getBody().orElse(""));
        } catch (HttpClientResponseException e) {
            checkStatus(e.code());
            throw toException(e.code(), e.getResponse().getBody(String.class).orElse(""));
        } catch (HttpClientException e) {
            throw CliException.unreachable("No response from " + gateway + ": " + e.getMessage(), e);
        }
    }

    private void checkStatus(int status) {
        if (!StatusCodes.isValid(status)) {
            throw CliException.unreachable("No response from " + gateway + ": the status is " + status, null);
        }
    }

    private static CliException toException(int status, String body) {
        JsonNode error = parse(body).path("error");
        StringBuilder message = new StringBuilder()
                .append(error.path("code").asText("HTTP status " + status))
                .append(": ")
                .append(error.path("message").asText(body));
        error.path("faults")
                .forEach(fault ->
                        message.append(System.lineSeparator()).append("  ").append(fault.asText()));
        return CliException.of(exitCode(status), ErrorCode.INVALID_REQUEST, message.toString());
    }

    private static int exitCode(int status) {
        return switch (status) {
            case 400, 404, 413, 422 -> ExitCode.INVALID;
            case 502, 503, 504 -> ExitCode.UNREACHABLE;
            default -> ExitCode.REFUSED;
        };
    }

    private static JsonNode parse(String body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return node == null ? JsonNodeFactory.instance.missingNode() : node;
        } catch (JsonProcessingException e) {
            return JsonNodeFactory.instance.missingNode();
        }
    }

    @Override
    public void close() {
        client.close();
    }
}
