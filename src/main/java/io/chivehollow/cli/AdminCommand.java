package io.chivehollow.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.base.CharMatcher;
import io.chivehollow.base.ErrorCode;

/**
 * A command that calls the operator API.
 *
 * <p>Not thread-safe.
 */
abstract class AdminCommand implements CliCommand {

    static final byte[] NO_BODY = {};

    private static final ObjectWriter WRITER = new JsonMapper().writerWithDefaultPrettyPrinter();

    @Option(
            name = {"--gateway"},
            title = "url",
            description = "URL of a gateway, http://127.0.0.1:8080 if absent")
    String gateway = "http://127.0.0.1:8080";

    @Required
    @Option(
            name = {"--operator-key-file"},
            title = "file",
            description = "File with the operator key")
    String operatorKeyFile;

    @Option(
            name = {"--json"},
            description = "Print the response as JSON")
    boolean isJson;

    @Override
    public final int run() {
        String key = new String(readFile(operatorKeyFile), StandardCharsets.UTF_8).strip();
        if (key.isEmpty() || !CharMatcher.inRange('!', '~').matchesAllOf(key)) {
            throw CliException.of(
                    ExitCode.INVALID,
                    ErrorCode.INVALID_REQUEST,
                    "File \"" + operatorKeyFile
                            + "\" must contain exactly one operator key of visible ASCII characters");
        }
        try (AdminClient client = AdminClient.create(gateway, key)) {
            JsonNode response = execute(client);
            System.out.print(isJson ? toJson(response) : describe(response));
        }
        return ExitCode.SUCCESS;
    }

    /** Calls the operator API and returns its response. */
    abstract JsonNode execute(AdminClient client);

    /** Returns the response as human-readable text whose lines end with line feeds. */
    String describe(JsonNode response) {
        return JsonText.describe(response);
    }

    static byte[] readFile(String file) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw CliException.of(
                    ExitCode.INVALID, ErrorCode.INVALID_REQUEST, "File \"" + file + "\" cannot be read: " + e);
        }
    }

    private static String toJson(JsonNode response) {
        try {
            return WRITER.writeValueAsString(response) + System.lineSeparator();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
