package io.chivehollow.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.TeamId;
import io.chivehollow.replay.Trace.Arrival;
import io.chivehollow.replay.Trace.Fault;
import io.chivehollow.replay.Trace.FaultType;
import io.chivehollow.replay.Trace.RequestKind;
import io.chivehollow.replay.Trace.Role;
import io.chivehollow.replay.Trace.Server;
import io.chivehollow.replay.Trace.Team;
import io.chivehollow.replay.Trace.Window;

/**
 * Generates traces of the two deployments from a seed.
 *
 * <p>Load is given as the share of decode memory that the requests within their team's rate limit occupy. Not
 * thread-safe.
 */
final class TraceGenerator {

    static final int GATEWAYS = 3;

    private static final double[] TEAM_SHARES = {0.35, 0.28, 0.16, 0.12, 0.09};
    private static final double LIGHT_LOAD = 0.5;
    // With this load the engines are nearly full at the peak: their mean occupancy under round robin is 0.88
    // (deployment a) and 0.89 (deployment b) over 10 seeds. The nominal load is higher because the steps of a batch
    // that is not full are shorter.
    static final double DEFAULT_PEAK_LOAD = 1.1;
    private static final double OUT_OF_SERVICE_LOAD = 0.65;
    // Arrivals are burstier than a Poisson process: in each interval of MODULATION_MS the rate differs from its mean by
    // up to this share.
    private static final double MODULATION = 0.4;
    private static final long MODULATION_MS = 5_000;
    private static final double RATE_HEADROOM = 1.25;
    private static final long BURST_SECONDS = 10;
    // During the burst this team sends OVERLOAD_FACTOR times its rate limit.
    private static final int OVERLOADING_TEAM = 1;
    private static final double OVERLOAD_FACTOR = 5;
    private static final double PLAIN_PER_SECOND = 60;

    private static final Window PEAK = new Window("peak", 40_000, 160_000);
    private static final Window BURST = new Window("burst", 60_000, 150_000);
    private static final Window OUT_OF_SERVICE = new Window("out", 210_000, 270_000);
    private static final Window RETURN_TO_SERVICE = new Window("return", 270_000, 310_000);
    private static final long END_MS = 320_000;

    private final String deployment;
    private final long seed;
    private final Random random;
    private final double peakLoad;
    private final boolean longDocuments;

    private TraceGenerator(String deployment, long seed, double peakLoad) {
        this.peakLoad = peakLoad;
        this.deployment = deployment;
        this.seed = seed;
        this.random = new Random(seed);
        this.longDocuments = deployment.equals("a");
    }

    static Trace generate(String deployment, long seed) {
        return generate(deployment, seed, DEFAULT_PEAK_LOAD);
    }

    static Trace generate(String deployment, long seed, double peakLoad) {
        return new TraceGenerator(deployment, seed, peakLoad).generate();
    }

    private Trace generate() {
        CostModel model = CostModel.of(deployment);
        List<Server> servers = longDocuments ? servers("PDS", "PPDS", "PDDS") : servers("PDS", "PDS", "DDS");
        long decodeServers =
                servers.stream().filter(s -> s.role() == Role.DECODE).count();
        double decodeMs = 0;
        double tokensPerRequest = 0;
        int samples = 20_000;
        for (int i = 0; i < samples; i++) {
            Arrival sample = arrival(0, 0, 0);
            decodeMs += model.decodeShare(sample) * sample.outputTokens() * CostModel.WARM_STEP_MS / samples;
            tokensPerRequest += (double) sample.costTokens() / samples;
        }
        double saturationRatePerMs = decodeServers / decodeMs;
        List<Team> teams = new ArrayList<>();
        for (int i = 0; i < TEAM_SHARES.length; i++) {
            double rate = RATE_HEADROOM * peakLoad * saturationRatePerMs * 1_000 * tokensPerRequest * TEAM_SHARES[i];
            long rateTokens = Math.round(rate);
            teams.add(
                    new Team(team(i), (int) Math.round(TEAM_SHARES[i] * 100), rateTokens, rateTokens * BURST_SECONDS));
        }
        List<Fault> faults = faults(servers);
        return new Trace(
                deployment,
                seed,
                teams,
                servers,
                List.of(PEAK, BURST, OUT_OF_SERVICE, RETURN_TO_SERVICE),
                arrivals(saturationRatePerMs),
                faults);
    }

    // Each string describes a failure domain: P is a prefill server, D a decode server, S a server of an ordinary
    // service.
    private static List<Server> servers(String... domains) {
        List<Server> servers = new ArrayList<>();
        for (int d = 0; d < domains.length; d++) {
            for (char c : domains[d].toCharArray()) {
                Role role = c == 'P' ? Role.PREFILL : c == 'D' ? Role.DECODE : Role.PLAIN;
                String id = role.name().toLowerCase(Locale.ROOT) + "-" + servers.size();
                servers.add(new Server(BackendServerId.of(id), role, FailureDomain.of("domain-" + d)));
            }
        }
        return servers;
    }

    private List<Fault> faults(List<Server> servers) {
        String domain = "domain-" + random.nextInt(3);
        List<Server> decode =
                servers.stream().filter(s -> s.role() == Role.DECODE).toList();
        String cold = decode.get(random.nextInt(decode.size())).id().value();
        String boot = decode.get(random.nextInt(decode.size())).id().value();
        return List.of(
                new Fault(110_000, FaultType.COLD, cold),
                new Fault(175_000, FaultType.BOOT, boot),
                new Fault(190_000, FaultType.GATEWAY, Integer.toString(random.nextInt(GATEWAYS))),
                new Fault(OUT_OF_SERVICE.fromMs(), FaultType.OUT, domain),
                new Fault(OUT_OF_SERVICE.toMs(), FaultType.IN, domain));
    }

    private List<Arrival> arrivals(double saturationRatePerMs) {
        List<Arrival> arrivals = new ArrayList<>();
        int number = 0;
        double timeMs = 0;
        double[] modulation = modulation();
        while (true) {
            double load = load((long) timeMs) * modulation[(int) (timeMs / MODULATION_MS)];
            boolean burst = BURST.contains((long) timeMs);
            double extraLoad = burst ? TEAM_SHARES[OVERLOADING_TEAM] * (OVERLOAD_FACTOR * RATE_HEADROOM - 1) : 0;
            double llmRate = saturationRatePerMs * load * (1 + extraLoad);
            double rate = llmRate + PLAIN_PER_SECOND / 1_000;
            timeMs += -Math.log(1 - random.nextDouble()) / rate;
            if (timeMs >= END_MS) {
                return arrivals;
            }
            if (random.nextDouble() * rate < llmRate) {
                arrivals.add(arrival((long) timeMs, number, extraLoad));
            } else {
                arrivals.add(new Arrival(
                        (long) timeMs, number, team(drawTeam(0)), RequestKind.PLAIN, drawGateway(), 0, 0, 0, 0, -1));
            }
            number++;
        }
    }

    private double[] modulation() {
        double[] factors = new double[(int) (END_MS / MODULATION_MS) + 1];
        for (int i = 0; i < factors.length; i++) {
            factors[i] = 1 + MODULATION * (2 * random.nextDouble() - 1);
        }
        return factors;
    }

    private double load(long timeMs) {
        if (PEAK.contains(timeMs)) {
            return peakLoad;
        }
        return OUT_OF_SERVICE.contains(timeMs) || RETURN_TO_SERVICE.contains(timeMs) ? OUT_OF_SERVICE_LOAD : LIGHT_LOAD;
    }

    private Arrival arrival(long timeMs, int number, double extraLoad) {
        int team = drawTeam(extraLoad);
        boolean batch = random.nextDouble() < 0.12;
        int median = batch ? (longDocuments ? 9_000 : 4_000) : (longDocuments ? 2_500 : 900);
        int limit = batch ? 40_000 : 14_000;
        int prompt = (int) Math.min(limit, 20 + median * Math.exp(0.9 * random.nextGaussian()));
        int meanOutput = longDocuments ? 70 : 130;
        int output = (int) Math.min(600, 2 + meanOutput * (0.4 - 0.6 * Math.log(1 - random.nextDouble())));
        int group = 0;
        int prefix = 0;
        if (random.nextDouble() < 0.6) {
            group = 1 + team * 8 + random.nextInt(8);
            prefix = (int) (prompt * (0.4 + 0.4 * random.nextDouble()));
        }
        long cancelAfterMs = random.nextDouble() < 0.03 ? random.nextInt(4_000) : -1;
        RequestKind kind = batch ? RequestKind.BATCH : RequestKind.INTERACTIVE;
        return new Arrival(
                timeMs, number, team(team), kind, drawGateway(), prompt, output, group, prefix, cancelAfterMs);
    }

    private int drawTeam(double extraLoad) {
        double draw = random.nextDouble() * (1 + extraLoad);
        for (int i = 0; i < TEAM_SHARES.length; i++) {
            draw -= TEAM_SHARES[i];
            if (draw < 0) {
                return i;
            }
        }
        return OVERLOADING_TEAM;
    }

    static TeamId overloadingTeam() {
        return team(OVERLOADING_TEAM);
    }

    private static TeamId team(int index) {
        return TeamId.of("team-" + index);
    }

    private int drawGateway() {
        return random.nextInt(GATEWAYS);
    }
}
