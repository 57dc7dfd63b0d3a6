package io.chivehollow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import io.micronaut.http.HttpMethod;

/**
 * Shows the accepted releases.
 *
 * <p>Not thread-safe.
 */
@Command(name = "log", description = "Show the accepted releases")
public final class ReleaseLogCommand extends AdminCommand {

    @Override
    JsonNode execute(AdminClient client) {
        return client.call(HttpMethod.GET, "/admin/v1/releases", null);
    }
}
