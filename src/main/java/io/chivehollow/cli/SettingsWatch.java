package io.chivehollow.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.chivehollow.settings.Settings;
import io.chivehollow.settings.SettingsException;
import io.chivehollow.settings.SettingsLoader;
import org.jboss.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reloads the settings file when it changes while the process runs.
 *
 * <p>Only a change of the list of replicas takes effect without a restart. The file is read on SIGHUP and, because it
 * may change without a signal, every few seconds. The Java runtime never handles a SIGHUP that is ignored when it
 * starts. A file with faults has no effect. Thread-safe.
 */
final class SettingsWatch {

    /** Seeds are used only when no listed replica responds, so a change may take effect some seconds late. */
    private static final long POLL_PERIOD_MS = 2_000;

    private static final Logger LOG = Logger.getLogger(SettingsWatch.class);

    private final Path file;
    private final Consumer<List<InetSocketAddress>> onSeeds;
    private final Semaphore pendingSignals = new Semaphore(0);
    private String lastText;
    private Settings settings;

    private SettingsWatch(Path file, Settings settings, Consumer<List<InetSocketAddress>> onSeeds) {
        this.file = file;
        this.settings = settings;
        this.onSeeds = onSeeds;
        this.lastText = "";
    }

    /** Starts watching the file from which the settings were loaded; the consumer receives changed replicas. */
    static void start(Path file, Settings settings, Consumer<List<InetSocketAddress>> onSeeds) {
        SettingsWatch watch = new SettingsWatch(file, settings, onSeeds);
        // Without a handler the Java runtime exits on SIGHUP.
        SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> watch.pendingSignals.release());
        if (previous == SignalHandler.SIG_IGN) {
            LOG.infof(
                    "The process was started with SIGHUP ignored, for example by nohup;"
                            + " the settings file is only read every %d ms",
                    POLL_PERIOD_MS);
        }
        Thread thread = new Thread(watch::run, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                boolean isSignalled = pendingSignals.tryAcquire(POLL_PERIOD_MS, TimeUnit.MILLISECONDS);
                reload(isSignalled);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reload(boolean isSignalled) {
        try {
            String newText = Files.readString(file);
            Settings loaded = newText.equals(lastText) ? settings : SettingsLoader.load(file);
            lastText = newText;
            if (loaded.equals(settings)) {
                if (isSignalled) {
                    LOG.info("Settings file reloaded on SIGHUP; no changes");
                }
                return;
            }
            if (!loaded.replicas().equals(settings.replicas())) {
                onSeeds.accept(loaded.replicas());
            }
            settings = loaded;
            LOG.infof("Settings file has changed and was reloaded%s", isSignalled ? " on SIGHUP" : "");
        } catch (SettingsException e) {
            LOG.warnf("Changed settings file has faults; the previous settings stay in effect: %s", e.faults());
        } catch (IOException e) {
            LOG.warnf("Cannot read the settings file; the previous settings stay in effect: %s", e);
        }
    }
}
