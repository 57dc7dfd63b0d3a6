package io.chivehollow.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Takes a failure domain out of service.
 *
 * <p>Not thread-safe.
 */
@Command(name = "out", description = "Take a failure domain out of service")
public final class DomainOutCommand extends DomainCommand {

    /** Creates the command; called by the command line parser. */
    public DomainOutCommand() {
        super("out");
    }
}
