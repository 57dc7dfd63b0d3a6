package io.chivehollow.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The processes that a run has started.
 *
 * <p>Invariant: after {@link #close} none of them is running. Thread-safe.
 */
public final class Processes implements AutoCloseable {

    private static final int STOP_SECONDS = 15;

    private final Path logFolder;
    private final Map<String, Process> processesByName = Collections.synchronizedMap(new LinkedHashMap<>());

    private Processes(Path logFolder) {
        this.logFolder = logFolder;
    }

    /** Returns an empty set of processes; each process appends its output to {@code NAME.log} in the folder. */
    public static Processes create(Path logFolder) {
        return new Processes(logFolder);
    }

    /** Starts a process with a name; replaces an earlier process of the same name, which must have ended. */
    public Process start(String name, List<String> command) {
        Path log = logFolder.resolve(name + ".log");
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            processesByName.put(name, process);
            return process;
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot start " + name, e);
        }
    }

    /** Returns the process that was last started with the name; throws {@link IllegalArgumentException} if none was. */
    public Process get(String name) {
        Process process = processesByName.get(name);
        if (process == null) {
            throw new IllegalArgumentException("No process was started with the name " + name);
        }
        return process;
    }

    /** Returns the names of all processes in the order of their first start. */
    public List<String> names() {
        synchronized (processesByName) {
            return List.copyOf(processesByName.keySet());
        }
    }

    /** Throws {@link IllegalStateException} if a process has ended. */
    public void checkAllRunning() {
        synchronized (processesByName) {
            processesByName.forEach((name, process) -> {
                if (!process.isAlive()) {
                    throw new IllegalStateException(
                            name + " ended with exit code " + process.exitValue() + "; see " + logFolder);
                }
            });
        }
    }

    /** Sends SIGTERM to all processes, the last started first, and SIGKILL to those that do not end. */
    @Override
    public void close() {
        List<Process> processes = new ArrayList<>(processesByName.values());
        Collections.reverse(processes);
        processes.forEach(Process::destroy);
        for (Process process : processes) {
            try {
                if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                    process.destroyForcibly().waitFor();
                }
            } catch (InterruptedException e) {
                process.destroyForcibly();
                Thread.currentThread().interrupt();
            }
        }
        processesByName.clear();
    }
}
