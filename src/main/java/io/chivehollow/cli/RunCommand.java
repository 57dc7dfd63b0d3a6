package io.chivehollow.cli;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.chivehollow.runtime.ChivehollowProcess;
import io.chivehollow.runtime.LogOutput;
import io.chivehollow.settings.Settings;
import io.chivehollow.settings.SettingsException;
import io.chivehollow.settings.SettingsLoader;
import org.jboss.logging.Logger;

/**
 * Runs the roles that a settings file defines, until the process receives a termination signal.
 *
 * <p>Not thread-safe.
 */
@Command(name = "run", description = "Run the roles that a settings file defines")
public final class RunCommand implements CliCommand {

    private static final Logger LOG = Logger.getLogger(RunCommand.class);

    @Option(
            name = "--stop-after-ms",
            title = "time",
            description = "Stop after this time, in milliseconds; for checks of an installation")
    long stopAfterMs;

    @Required
    @Arguments(title = "settings", description = "Settings file")
    String file;

    private static void stop(ChivehollowProcess process) {
        process.close();
        LOG.info("All roles are stopped; the process exits");
        LogOutput.flush();
    }

    @Override
    public int run() {
        Settings settings;
        try {
            settings = SettingsLoader.load(Path.of(file));
        } catch (SettingsException e) {
            e.faults().forEach(System.err::println);
            return ExitCode.INVALID;
        }
        LogOutput.configure(settings);
        ChivehollowProcess process = ChivehollowProcess.start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process), "shutdown"));
        SettingsWatch.start(Path.of(file), settings, process::setSeeds);
        LOG.infof("Instance %s in failure domain %s has started", settings.instance(), settings.failureDomain());
        try {
            if (stopAfterMs > 0) {
                Thread.sleep(stopAfterMs);
                process.close();
                return ExitCode.SUCCESS;
            }
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.SUCCESS;
    }
}
