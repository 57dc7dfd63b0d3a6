package io.chivehollow.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Brings a failure domain back into service.
 *
 * <p>Not thread-safe.
 */
@Command(name = "in", description = "Bring a failure domain back into service")
public final class DomainInCommand extends DomainCommand {

    /** Creates the command; called by the command line parser. */
    public DomainInCommand() {
        super("in");
    }
}
