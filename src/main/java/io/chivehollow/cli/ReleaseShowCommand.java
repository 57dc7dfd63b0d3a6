package io.chivehollow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import io.micronaut.http.HttpMethod;

/**
 * Shows the state in effect and the release that introduced each part of it.
 *
 * <p>Not thread-safe.
 */
@Command(name = "show", description = "Show the state in effect and the release that introduced each part of it")
public final class ReleaseShowCommand extends AdminCommand {

    @Override
    JsonNode execute(AdminClient client) {
        return client.call(HttpMethod.GET, "/admin/v1/state", null);
    }
}
