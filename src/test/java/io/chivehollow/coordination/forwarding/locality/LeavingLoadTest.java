package io.chivehollow.coordination.forwarding.locality;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import io.chivehollow.base.FailureDomain;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Load: three failure domains whose callers send uneven shares of what a domain can serve, at several instances that
 * learn the waits of all domains 200 ms late. Runs in virtual time.
 */
public class LeavingLoadTest {

    private static final int DOMAINS = 3;
    private static final int INSTANCES_PER_DOMAIN = 4;
    private static final double WORK_MS = 10;
    private static final double TARGET_MS = 800;
    private static final int REPORT_MS = 200;
    private static final int WARM_UP_S = 10;
    private static final int LENGTH_S = 60;
    private static final long MS = 1_000_000;
    private static final long REQUEST_BYTES = 10_000;

    @DataProvider
    public Object[][] demands() {
        return new Object[][] {
            {1, new double[] {1.6, 0.7, 0.4}},
            {2, new double[] {1.6, 0.7, 0.4}},
            {3, new double[] {0.4, 1.3, 1.0}},
            {4, new double[] {1.6, 1.0, 0.6}},
            {5, new double[] {0.9, 0.8, 0.9}},
        };
    }

    /** Requests in time must not be fewer than with one common pool, and far fewer bytes may leave. */
    @Test(dataProvider = "demands")
    public void serviceIsThatOfOnePoolWithFewerBytes(int seed, double[] demand) {
        Result local = new Run(seed, demand, false).play();
        Result pooled = new Run(seed, demand, true).play();
        String text = "local " + local + ", pooled " + pooled;
        assertTrue(local.onTime >= 0.99 * pooled.onTime, text);
        // Two of three requests of a common pool leave.
        assertTrue(local.left < pooled.left / 2, text);
    }

    /** Guards against shares that swing because all instances see the same figures late. */
    @Test(dataProvider = "demands")
    public void shareIsWhatTheOwnDomainCannotServe(int seed, double[] demand) {
        Result result = new Run(seed, demand, false).play();
        double excess =
                Arrays.stream(demand).map(value -> Math.max(0, value - 1)).sum();
        double room = Arrays.stream(demand).map(value -> Math.max(0, 1 - value)).sum();
        double total = Arrays.stream(demand).sum();
        double expected = Math.min(excess, room) / total;
        assertTrue(Math.abs(result.leftShare() - expected) < 0.1, "expected " + expected + ", " + result);
        int swings = 0;
        for (int second = WARM_UP_S + 1; second < LENGTH_S; second++) {
            if (Math.abs(result.shareInSecond(second) - result.shareInSecond(second - 1)) > 0.25) {
                swings++;
            }
        }
        assertTrue(swings == 0, swings + " seconds in which the share changed by more than 0.25: " + result);
    }

    private static final class Result {

        private final int[] leftInSecond = new int[LENGTH_S];
        private final int[] sentInSecond = new int[LENGTH_S];
        private int onTime;
        private int left;
        private int sent;

        double leftShare() {
            return (double) left / sent;
        }

        double shareInSecond(int second) {
            return (double) leftInSecond[second] / Math.max(1, sentInSecond[second]);
        }

        @Override
        public String toString() {
            return onTime + " in time and " + left + " left, of " + sent;
        }
    }

    /** One run: domains are queues with a constant speed; requests that would miss their target are refused. */
    private static final class Run {

        private final double[] demand;
        private final boolean isPooled;
        private final Random arrivals;
        private final Random random;
        private final double[] queueMs = new double[DOMAINS];
        private final double[] reportedMs = new double[DOMAINS];
        private final List<List<DomainChooser>> choosers = new ArrayList<>();
        private final List<DomainLinks> links = new ArrayList<>();
        private final Result result = new Result();

        Run(int seed, double[] demand, boolean isPooled) {
            this.demand = demand;
            this.isPooled = isPooled;
            this.arrivals = new Random(seed);
            this.random = new Random(seed);
            for (int domain = 0; domain < DOMAINS; domain++) {
                List<DomainChooser> instances = new ArrayList<>();
                for (int i = 0; i < INSTANCES_PER_DOMAIN; i++) {
                    DomainLinks paths = new DomainLinks(domain(domain));
                    LeavingCost cost = new LeavingCost(domain(domain), paths, new ByteBudget(0), 0);
                    instances.add(new DomainChooser(domain(domain), paths, cost));
                    links.add(paths);
                }
                choosers.add(instances);
            }
        }

        private static FailureDomain domain(int index) {
            return FailureDomain.of("domain-" + index);
        }

        Result play() {
            for (int ms = 0; ms < LENGTH_S * 1_000; ms++) {
                if (ms % REPORT_MS == 0) {
                    System.arraycopy(queueMs, 0, reportedMs, 0, DOMAINS);
                    for (DomainLinks paths : links) {
                        for (int domain = 0; domain < DOMAINS; domain++) {
                            paths.onHeard(domain(domain), ms * MS);
                        }
                    }
                }
                for (int domain = 0; domain < DOMAINS; domain++) {
                    queueMs[domain] = Math.max(0, queueMs[domain] - 1);
                    if (arrivals.nextDouble() < demand[domain] / WORK_MS) {
                        send(domain, ms);
                    }
                }
            }
            return result;
        }

        private void send(int home, int ms) {
            int target = isPooled ? shortest() : choose(home, ms);
            boolean isOnTime = queueMs[target] + WORK_MS <= TARGET_MS;
            if (isOnTime) {
                queueMs[target] += WORK_MS;
            }
            if (ms < WARM_UP_S * 1_000) {
                return;
            }
            result.sent++;
            result.sentInSecond[ms / 1_000]++;
            result.onTime += isOnTime ? 1 : 0;
            if (target != home) {
                result.left++;
                result.leftInSecond[ms / 1_000]++;
            }
        }

        private int choose(int home, int ms) {
            DomainChooser chooser = choosers.get(home).get(random.nextInt(INSTANCES_PER_DOMAIN));
            List<DomainOption> options = new ArrayList<>();
            for (int domain = 0; domain < DOMAINS; domain++) {
                options.add(new DomainOption(domain(domain), reportedMs[domain]));
            }
            FailureDomain chosen = chooser.choose("s", options, TARGET_MS, REQUEST_BYTES, false, ms * MS)
                    .orElseThrow()
                    .domain();
            return Integer.parseInt(chosen.value().substring("domain-".length()));
        }

        /** Returns the domain with about the shortest reported wait, not the same one for all requests. */
        private int shortest() {
            int best = random.nextInt(DOMAINS);
            for (int domain = 0; domain < DOMAINS; domain++) {
                best = reportedMs[domain] + random.nextDouble() * WORK_MS < reportedMs[best] ? domain : best;
            }
            return best;
        }
    }
}
