package io.chivehollow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.micronaut.http.HttpMethod;

/**
 * Base of the commands that admit or remove one member of the replica group.
 *
 * <p>Not thread-safe.
 */
abstract class ReplicaChangeCommand extends AdminCommand {

    private final String action;

    @Required
    @Arguments(title = "instance", description = "Id of the instance")
    String instance;

    /** Creates the command; the action is the last segment of the operator API's path. */
    ReplicaChangeCommand(String action) {
        this.action = action;
    }

    @Override
    final JsonNode execute(AdminClient client) {
        String path = "/admin/v1/replicas/" + UriSegment.encode(instance) + "/" + action;
        return client.call(HttpMethod.POST, path, NO_BODY);
    }
}
