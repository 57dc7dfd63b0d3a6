package io.chivehollow.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The resource use of a process, as counted by the operating system.
 *
 * <p>Immutable and thread-safe.
 *
 * @param cpuMs processor time that the process has used
 * @param residentKb resident memory
 * @param readBytes bytes that the process has read, from sockets and files
 * @param writtenBytes bytes that the process has written, to sockets and files
 */
record ProcessUsage(long cpuMs, long residentKb, long readBytes, long writtenBytes) {

    /** The kernel counts processor time in hundredths of a second. */
    private static final long MS_PER_TICK = 10;

    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;

    /** Returns the resource use of a process up to now. */
    static ProcessUsage read(long pid) throws IOException {
        Path folder = Path.of("/proc", String.valueOf(pid));
        String stat = Files.readString(folder.resolve("stat"));
        // The second field, the command name, may contain blanks; it ends with the last closing parenthesis.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        List<String> status = Files.readAllLines(folder.resolve("status"));
        List<String> io = Files.readAllLines(folder.resolve("io"));
        return new ProcessUsage(
                ticks * MS_PER_TICK, number(status, "VmRSS:"), number(io, "rchar:"), number(io, "wchar:"));
    }

    private static long number(List<String> lines, String name) {
        return lines.stream()
                .filter(line -> line.startsWith(name))
                .map(line -> line.substring(name.length()).replace("kB", "").strip())
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
    }
}
