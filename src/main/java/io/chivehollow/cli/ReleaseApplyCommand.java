package io.chivehollow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.micronaut.http.HttpMethod;

/**
 * Submits a release note.
 *
 * <p>Not thread-safe.
 */
@Command(name = "apply", description = "Submit a release note")
public final class ReleaseApplyCommand extends AdminCommand {

    @Required
    @Arguments(title = "note", description = "File with the release note")
    String file;

    @Override
    JsonNode execute(AdminClient client) {
        return client.call(HttpMethod.POST, "/admin/v1/releases", readFile(file));
    }
}
