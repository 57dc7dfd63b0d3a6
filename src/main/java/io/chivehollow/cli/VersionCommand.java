package io.chivehollow.cli;

import java.util.Objects;

import com.github.rvesse.airline.annotations.Command;

/**
 * Prints the version of the software.
 *
 * <p>Not thread-safe.
 */
@Command(name = "version", description = "Print the version")
public final class VersionCommand implements CliCommand {

    @Override
    public int run() {
        String version = Main.class.getPackage().getImplementationVersion();
        System.out.println("chivehollow " + Objects.requireNonNullElse(version, "development"));
        return ExitCode.SUCCESS;
    }
}
