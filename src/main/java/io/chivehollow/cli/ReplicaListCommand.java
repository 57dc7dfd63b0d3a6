package io.chivehollow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import io.micronaut.http.HttpMethod;

/**
 * Shows the members of the replica group.
 *
 * <p>Not thread-safe.
 */
@Command(name = "list", description = "Show the members of the replica group")
public final class ReplicaListCommand extends AdminCommand {

    @Override
    JsonNode execute(AdminClient client) {
        return client.call(HttpMethod.GET, "/admin/v1/replicas", null);
    }
}
