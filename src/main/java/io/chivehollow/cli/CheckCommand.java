package io.chivehollow.cli;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.chivehollow.settings.SettingsException;
import io.chivehollow.settings.SettingsLoader;

/**
 * Validates a settings file and prints every fault.
 *
 * <p>Not thread-safe.
 */
@Command(name = "check", description = "Check a settings file; exits with 2 if it has faults")
public final class CheckCommand implements CliCommand {

    @Required
    @Arguments(title = "settings", description = "Settings file")
    String file;

    @Override
    public int run() {
        try {
            SettingsLoader.load(Path.of(file));
        } catch (SettingsException e) {
            e.faults().forEach(System.err::println);
            return ExitCode.INVALID;
        }
        System.out.println(file + ": no faults");
        return ExitCode.SUCCESS;
    }
}
