package io.chivehollow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.micronaut.http.HttpMethod;

/**
 * Withdraws an API key.
 *
 * <p>Not thread-safe.
 */
@Command(name = "withdraw", description = "Withdraw an API key")
public final class KeyWithdrawCommand extends AdminCommand {

    @Required
    @Arguments(title = "key", description = "Id of the key")
    String keyId;

    @Override
    JsonNode execute(AdminClient client) {
        return client.call(HttpMethod.DELETE, "/admin/v1/keys/" + UriSegment.encode(keyId), null);
    }
}
