package io.chivehollow.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.jspecify.annotations.Nullable;

/**
 * Runs the command {@code bin/replay}.
 *
 * <p>Exit codes: 0 if all stated outcomes were measured and hold, 1 if not, 2 for invalid arguments. Not thread-safe.
 */
@Command(name = "replay", description = "Compares placement policies on generated or recorded traces")
public final class ReplayMain {

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    @Option(name = "--seed", description = "First seed of the generated traces")
    private long seed = 1;

    @Option(name = "--seeds", description = "Number of seeds")
    private int seeds = 10;

    @Option(name = "--trace", description = "Replay this trace instead of generated ones")
    private @Nullable String trace;

    @Option(name = "--write-trace", description = "Write the trace of the first seed to this file and end")
    private @Nullable String writeTrace;

    @Option(name = "--policy", description = "Run only this policy")
    private @Nullable String policy;

    @Option(name = "--deployment", description = "a or b; both if absent")
    private @Nullable String deployment;

    @Option(name = "--plots", description = "Write histograms of the first seed to this directory")
    private @Nullable String plots;

    @Option(name = "--peak-load", description = "Share of decode memory that requests inside their rate ask for")
    private double peakLoad = TraceGenerator.DEFAULT_PEAK_LOAD;

    @Option(name = "--reserve", description = "before_queue, at_grant or after_prefill")
    private String reserve = "at_grant";

    @Option(name = "--affinity", description = "Weight of cached prompt tokens in the placement of prefills")
    private double affinity = ReplayRun.Options.DEFAULT.affinityWeight();

    /** Runs the command and exits the process with its exit code. */
    public static void main(String[] args) {
        int exitCode;
        try {
            exitCode = SingleCommand.singleCommand(ReplayMain.class).parse(args).run();
        } catch (ParseException | IllegalArgumentException | IOException e) {
            System.err.println("replay: " + (e instanceof IOException ? e.toString() : e.getMessage()));
            exitCode = 2;
        }
        System.exit(exitCode);
    }

    int run() throws IOException {
        if (writeTrace != null) {
            String name = deployment == null ? "a" : deployment;
            TraceGenerator.generate(name, seed, peakLoad).write(Path.of(writeTrace));
            return 0;
        }
        List<Summary> summaries = new ArrayList<>();
        if (trace != null) {
            Trace recorded = Trace.read(Path.of(trace));
            summaries.add(summarise(recorded.deployment(), List.of(recorded)));
        } else {
            for (String name : deployment == null ? List.of("a", "b") : List.of(deployment)) {
                List<Trace> traces = new ArrayList<>();
                for (int i = 0; i < seeds; i++) {
                    traces.add(TraceGenerator.generate(name, seed + i, peakLoad));
                }
                summaries.add(summarise(name, traces));
            }
        }
        if (json) {
            System.out.println(
                    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(summaries));
        } else {
            summaries.forEach(ReplayMain::print);
        }
        return summaries.stream().allMatch(Summary::holds) ? 0 : 1;
    }

    private Summary summarise(String name, List<Trace> traces) throws IOException {
        ReplayRun.Options options = new ReplayRun.Options(
                ProductRouter.Reserve.valueOf(reserve.toUpperCase(Locale.ROOT)), affinity, ReplaySafeguards.ALL);
        List<String> policies = new ArrayList<>();
        policies.add(ReplayRun.PRODUCT);
        policies.addAll(ReplayRun.BASELINES);
        List<Score> scores = new ArrayList<>();
        for (Trace one : traces) {
            for (String candidate : policy == null ? policies : List.of(policy)) {
                ReplayRun.Result run = ReplayRun.run(one, candidate, options);
                scores.add(Score.of(run));
                if (plots != null && one == traces.get(0)) {
                    Histograms.write(Path.of(plots), run);
                }
            }
        }
        return Summary.of(name, scores);
    }

    private static void print(Summary summary) {
        System.out.printf("deployment %s, medians%n", summary.deployment());
        System.out.printf(
                Locale.ROOT,
                "%-22s %8s %6s %6s %8s %7s %6s %9s %6s %7s %6s %6s %9s%n",
                "policy",
                "good/s",
                "good",
                "occup",
                "prefillS",
                "wasted",
                "worst",
                "wrongful",
                "out",
                "return",
                "batch",
                "plain",
                "overloads");
        summary.scores().stream()
                .map(Score::policy)
                .distinct()
                .forEach(name -> System.out.printf(
                        Locale.ROOT,
                        "%-22s %8.2f %6.3f %6.3f %8.1f %7.4f %6.3f %9.5f %6.3f %7.3f %6.3f %6.3f %9.0f%n",
                        name,
                        summary.median(name, Score::goodputPerSecond),
                        summary.median(name, Score::goodShare),
                        summary.median(name, Score::peakOccupancy),
                        summary.median(name, Score::prefillSeconds),
                        summary.median(name, Score::wastedPrefillShare),
                        summary.median(name, Score::worstTeamRatio),
                        summary.median(name, Score::wrongfulRefusals),
                        summary.median(name, Score::outRatio),
                        summary.median(name, Score::returnRatio),
                        summary.median(name, Score::batchShare),
                        summary.median(name, Score::plainShare),
                        summary.median(name, Score::coldOverloads)));
        printUpperBound(summary);
        for (Summary.Outcome outcome : summary.outcomes()) {
            System.out.printf(
                    Locale.ROOT,
                    "%-4s %s: %.4f (%s; least favourable seed %d)%n",
                    outcome.holds() ? "ok" : "FAIL",
                    outcome.name(),
                    outcome.value(),
                    outcome.bound(),
                    outcome.worstSeed());
        }
    }

    private static void printUpperBound(Summary summary) {
        System.out.printf(
                Locale.ROOT,
                "upper bound for any policy: %.2f good/s, %.4f times the best baseline%n",
                summary.median(ReplayRun.PRODUCT, Score::ceilingPerSecond),
                summary.ceilingRatio());
        System.out.printf(
                Locale.ROOT,
                "losses of %s, mean: expired %.4f, refused %.4f, late %.4f, slow tokens %.4f; refused or late for: "
                        + "no place %.4f, no memory %.4f, queue %.4f, late start %.4f%n",
                ReplayRun.PRODUCT,
                summary.meanLoss(Losses::expired),
                summary.meanLoss(Losses::refused),
                summary.meanLoss(Losses::late),
                summary.meanLoss(Losses::slow),
                summary.meanLoss(Losses::noPlace),
                summary.meanLoss(Losses::noMemory),
                summary.meanLoss(Losses::queued),
                summary.meanLoss(Losses::lateStart));
    }
}
