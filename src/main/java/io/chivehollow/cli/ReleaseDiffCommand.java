package io.chivehollow.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.chivehollow.base.ErrorCode;
import io.micronaut.http.HttpMethod;

/**
 * Shows the release notes after one release number up to and including another.
 *
 * <p>Not thread-safe.
 */
@Command(name = "diff", description = "Show what was added, changed and withdrawn between two release numbers")
public final class ReleaseDiffCommand extends AdminCommand {

    @Required
    @Arguments(
            title = {"from", "to"},
            description = "Release numbers; the first one is not included")
    List<Long> numbers = new ArrayList<>();

    @Override
    JsonNode execute(AdminClient client) {
        if (numbers.size() != 2 || numbers.get(0) > numbers.get(1)) {
            throw CliException.of(
                    ExitCode.INVALID,
                    ErrorCode.INVALID_REQUEST,
                    "release diff takes two release numbers, the lower one first, but got " + numbers);
        }
        JsonNode releases =
                client.call(HttpMethod.GET, "/admin/v1/releases", null).path("releases");
        ObjectNode difference = JsonNodeFactory.instance.objectNode();
        for (JsonNode release : releases) {
            long number = release.path("number").asLong();
            if (number > numbers.get(0) && number <= numbers.get(1)) {
                difference.set("release " + number, release.path("note"));
            }
        }
        return difference;
    }
}
