package io.chivehollow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.micronaut.http.HttpMethod;

/**
 * Base of the commands that take a failure domain out of service and bring it back.
 *
 * <p>Not thread-safe.
 */
abstract class DomainCommand extends AdminCommand {

    private final String action;

    @Required
    @Arguments(title = "domain", description = "Id of the failure domain")
    String domain;

    /** Creates the command; the action is the last segment of the operator API's path. */
    DomainCommand(String action) {
        this.action = action;
    }

    @Override
    final JsonNode execute(AdminClient client) {
        return client.call(HttpMethod.POST, "/admin/v1/domains/" + UriSegment.encode(domain) + "/" + action, NO_BODY);
    }
}
