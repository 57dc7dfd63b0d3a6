package io.chivehollow.cli;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.micronaut.http.HttpMethod;

/**
 * Commands a backend server's engine to load a model or an adapter, or to change its role.
 *
 * <p>Not thread-safe.
 */
@Command(
        name = "engine",
        description = "Command an engine to load a model or an adapter, or to change its role; loads are queued")
public final class EngineCommand extends AdminCommand {

    @Required
    @Arguments(title = "backend-server", description = "Id of the backend server")
    String backendServer;

    @Required
    @Option(
            name = {"--kind"},
            title = "kind",
            description = "load_model, load_adapter or set_role")
    String kind;

    @Required
    @Option(
            name = {"--argument"},
            title = "argument",
            description = "Name of the model, the adapter or the new role")
    String argument;

    @Override
    JsonNode execute(AdminClient client) {
        ObjectNode body =
                JsonNodeFactory.instance.objectNode().put("kind", kind).put("argument", argument);
        String path = "/admin/v1/backend-servers/" + UriSegment.encode(backendServer) + "/commands";
        return client.call(HttpMethod.POST, path, body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
