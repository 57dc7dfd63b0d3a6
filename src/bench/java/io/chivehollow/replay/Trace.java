package io.chivehollow.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.TeamId;

/**
 * The arrivals and faults of a run, with the deployment that receives them; docs/replay.md describes the text format.
 *
 * <p>Immutable and thread-safe.
 */
record Trace(
        String deployment,
        long seed,
        List<Team> teams,
        List<Server> servers,
        List<Window> windows,
        List<Arrival> arrivals,
        List<Fault> faults) {

    /** The role of a backend server. */
    enum Role {
        PREFILL,
        DECODE,
        PLAIN
    }

    /** The service class of a request. */
    enum RequestKind {
        INTERACTIVE,
        BATCH,
        PLAIN
    }

    /** A failure, or a change by an operator. */
    enum FaultType {
        /** A failure domain is taken out of service. */
        OUT,
        /** A failure domain returns to service; its engines are cold. */
        IN,
        /** An engine restarts and loses its requests. */
        BOOT,
        /** An engine returns to the cold state without a restart. */
        COLD,
        /** A gateway is unreachable for 10 s. */
        GATEWAY
    }

    /** A team with its weight and rate limit. */
    record Team(TeamId id, int weight, long rateTokensPerSecond, long burstTokens) {}

    /** A backend server. */
    record Server(BackendServerId id, Role role, FailureDomain domain) {}

    /** A period of the trace for which values are measured; the end is exclusive. */
    record Window(String name, long fromMs, long toMs) {
        boolean contains(long timeMs) {
            return timeMs >= fromMs && timeMs < toMs;
        }
    }

    /** The arrival of a request; {@code cancelAfterMs} is -1 if the caller does not cancel it. */
    record Arrival(
            long timeMs,
            int number,
            TeamId team,
            RequestKind kind,
            int gateway,
            int promptTokens,
            int outputTokens,
            int prefixGroup,
            int prefixTokens,
            long cancelAfterMs) {

        long costTokens() {
            return (long) promptTokens + outputTokens;
        }
    }

    /** A fault; the target is a failure domain, a backend server or the number of a gateway. */
    record Fault(long timeMs, FaultType type, String target) {}

    Window window(String name) {
        return windows.stream()
                .filter(w -> w.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("the trace has no window " + name));
    }

    static Trace read(Path path) throws IOException {
        Trace trace = new Trace(
                "", 0, new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        int lineNumber = 0;
        for (String line : Files.readAllLines(path)) {
            lineNumber++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            try {
                trace = trace.with(line.trim().split(" +"));
            } catch (RuntimeException e) {
                throw new IllegalArgumentException(path + ":" + lineNumber + ": invalid line: " + line, e);
            }
        }
        return trace;
    }

    private Trace with(String[] fields) {
        switch (fields[0]) {
            case "deployment" -> {
                return new Trace(fields[1], Long.parseLong(fields[2]), teams, servers, windows, arrivals, faults);
            }
            case "team" -> teams.add(new Team(
                    TeamId.of(fields[1]),
                    Integer.parseInt(fields[2]),
                    Long.parseLong(fields[3]),
                    Long.parseLong(fields[4])));
            case "server" -> servers.add(
                    new Server(BackendServerId.of(fields[1]), Role.valueOf(fields[2]), FailureDomain.of(fields[3])));
            case "window" -> windows.add(new Window(fields[1], Long.parseLong(fields[2]), Long.parseLong(fields[3])));
            case "request" -> arrivals.add(new Arrival(
                    Long.parseLong(fields[1]),
                    Integer.parseInt(fields[2]),
                    TeamId.of(fields[3]),
                    RequestKind.valueOf(fields[4]),
                    Integer.parseInt(fields[5]),
                    Integer.parseInt(fields[6]),
                    Integer.parseInt(fields[7]),
                    Integer.parseInt(fields[8]),
                    Integer.parseInt(fields[9]),
                    Long.parseLong(fields[10])));
            case "fault" -> faults.add(new Fault(Long.parseLong(fields[1]), FaultType.valueOf(fields[2]), fields[3]));
            default -> throw new IllegalArgumentException("unknown record " + fields[0]);
        }
        return this;
    }

    void write(Path path) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("deployment " + deployment + " " + seed);
        teams.forEach(t -> lines.add(join("team", t.id(), t.weight(), t.rateTokensPerSecond(), t.burstTokens())));
        servers.forEach(s -> lines.add(join("server", s.id(), s.role(), s.domain())));
        windows.forEach(w -> lines.add(join("window", w.name(), w.fromMs(), w.toMs())));
        arrivals.forEach(a -> lines.add(join(
                "request",
                a.timeMs(),
                a.number(),
                a.team(),
                a.kind(),
                a.gateway(),
                a.promptTokens(),
                a.outputTokens(),
                a.prefixGroup(),
                a.prefixTokens(),
                a.cancelAfterMs())));
        faults.forEach(f -> lines.add(join("fault", f.timeMs(), f.type(), f.target())));
        Files.write(path, lines);
    }

    private static String join(Object... fields) {
        List<String> texts = new ArrayList<>();
        for (Object field : fields) {
            texts.add(field.toString());
        }
        return String.join(" ", texts);
    }
}
