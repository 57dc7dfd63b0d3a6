package io.chivehollow.cli;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.micronaut.http.HttpMethod;

/**
 * Creates an API key and prints it; it cannot be shown again.
 *
 * <p>Not thread-safe.
 */
@Command(name = "create", description = "Create an API key for a team and print it; it cannot be shown again")
public final class KeyCreateCommand extends AdminCommand {

    @Required
    @Arguments(title = "team", description = "Id of the team")
    String team;

    @Override
    JsonNode execute(AdminClient client) {
        String body = JsonNodeFactory.instance.objectNode().put("team", team).toString();
        return client.call(HttpMethod.POST, "/admin/v1/keys", body.getBytes(StandardCharsets.UTF_8));
    }
}
