package io.chivehollow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import io.micronaut.http.HttpMethod;

/**
 * Shows the replicas, the backend servers and the teams.
 *
 * <p>Not thread-safe.
 */
@Command(name = "status", description = "Show the replicas, the backend servers and the teams")
public final class StatusCommand extends AdminCommand {

    @Override
    JsonNode execute(AdminClient client) {
        return client.call(HttpMethod.GET, "/admin/v1/status", null);
    }
}
