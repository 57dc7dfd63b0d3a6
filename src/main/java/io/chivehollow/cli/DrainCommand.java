package io.chivehollow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.micronaut.http.HttpMethod;

/**
 * Starts or ends the draining of a backend server.
 *
 * <p>Not thread-safe.
 */
@Command(name = "drain", description = "Stop sending new requests to a backend server, or resume with --undo")
public final class DrainCommand extends AdminCommand {

    @Required
    @Arguments(title = "backend-server", description = "Id of the backend server")
    String backendServer;

    @Option(
            name = {"--undo"},
            description = "Resume sending new requests to the backend server")
    boolean isUndo;

    @Override
    JsonNode execute(AdminClient client) {
        String action = isUndo ? "/undrain" : "/drain";
        String path = "/admin/v1/backend-servers/" + UriSegment.encode(backendServer) + action;
        return client.call(HttpMethod.POST, path, NO_BODY);
    }
}
