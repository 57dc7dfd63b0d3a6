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

/**
 * Takes over changes of the settings file while the process runs.
 *
 * <p>Only the list of replicas can change without a restart. The file is read at SIGHUP and, because it may change
 * without a signal, every few seconds. A file with faults changes nothing. Thread-safe.
 */
final class SettingsWatch {

    /** Seeds matter only when no known replica answers, so a change may take some seconds. */
    private static final long PERIOD_MS = 2_000;

    private static final Logger LOG = Logger.getLogger(SettingsWatch.class);

    private final Path file;
    private final Consumer<List<InetSocketAddress>> onSeeds;
    private final Semaphore signals = new Semaphore(0);
    private String text;
    private Settings settings;

    private SettingsWatch(Path file, Settings settings, Consumer<List<InetSocketAddress>> onSeeds) {
        this.file = file;
        this.settings = settings;
        this.onSeeds = onSeeds;
        this.text = "";
    }

    /** Starts to watch the file from which the settings were loaded. */
    static void start(Path file, Settings settings, Consumer<List<InetSocketAddress>> onSeeds) {
        SettingsWatch watch = new SettingsWatch(file, settings, onSeeds);
        // The Java runtime would end the process at SIGHUP.
        Signal.handle(new Signal("HUP"), signal -> watch.signals.release());
        Thread thread = new Thread(watch::run, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            LOG.warnf("The settings file cannot be read again: %s", e);
        }
        try {
            while (true) {
                boolean isSignal = signals.tryAcquire(PERIOD_MS, TimeUnit.MILLISECONDS);
                reload(isSignal);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reload(boolean isSignal) {
        try {
            String newText = Files.readString(file);
            if (newText.equals(text)) {
                if (isSignal) {
                    LOG.info("The settings were read again and have not changed");
                }
                return;
            }
            Settings loaded = SettingsLoader.load(file);
            text = newText;
            if (!loaded.replicas().equals(settings.replicas())) {
                onSeeds.accept(loaded.replicas());
            }
            settings = loaded;
            LOG.infof("The settings have changed%s", isSignal ? " and were read again at SIGHUP" : "");
        } catch (SettingsException e) {
            LOG.warnf("The changed settings have faults, the former ones stay: %s", e.faults());
        } catch (IOException e) {
            LOG.warnf("The settings file cannot be read again, the former settings stay: %s", e);
        }
    }
}
