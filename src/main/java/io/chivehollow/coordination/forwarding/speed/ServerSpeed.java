package io.chivehollow.coordination.forwarding.speed;

import java.util.concurrent.TimeUnit;

/**
 * How much longer work takes at one run of a backend server than at a usual one; 1 is usual.
 *
 * <p>Learnt from the server's own work, and corrected by what the server reports of its machine. The report of a
 * machine that is shared with others is true for a moment only, so the correction fades to the mean of the reports
 * within {@link #REPORT_VALID_NANOS}.
 *
 * <p>Invariants: the result is between {@link #MIN_SLOWNESS} and {@link #MAX_SLOWNESS}. One piece of work changes what
 * is learnt by at most the factor {@link #MAX_WORK_STEP}; a report changes the result by at most the quotient of
 * {@link #MAX_MACHINE} and {@link #MIN_MACHINE}. Has no clock; callers pass the time. Used on the event loop of the
 * forwarding role only.
 */
public final class ServerSpeed {

    /** A server that seems faster is measured wrongly, or its requests were answered without work. */
    public static final double MIN_SLOWNESS = 0.25;

    /** Work that takes longer meets a fault rather than a slow machine, and the server is avoided in any case. */
    public static final double MAX_SLOWNESS = 8;

    /** Lower bound of a report, as a share of the usual time. */
    static final double MIN_MACHINE = 0.5;

    /** Upper bound of a report, as a multiple of the usual time. */
    static final double MAX_MACHINE = 4;

    /** Largest factor by which one piece of work changes what is learnt. */
    static final double MAX_WORK_STEP = 1.5;

    /** Age past which a report no longer counts; machines change their load several times per second. */
    static final long REPORT_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time without a report after which a server no longer counts as one that reports its machine. */
    static final long REPORTING_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Time without work for which what was learnt counts in full; servers mostly get a request within it. */
    static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Time after which half of it still counts from then on, so that a server that recovers is tried again. */
    static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Weight of a new piece of work or report once there are enough of them. */
    private static final double WEIGHT = 0.1;

    /** Number of pieces of work that the start value counts for. */
    private static final int START_COUNT = 2;

    private static final double PERCENT = 100;
    private static final double MIN_LOG_SLOWNESS = Math.log(MIN_SLOWNESS);
    private static final double MAX_LOG_SLOWNESS = Math.log(MAX_SLOWNESS);
    private static final double MAX_LOG_STEP = Math.log(MAX_WORK_STEP);

    private double learntLog;
    private int workCount;
    private long workNanos;
    private double machine = 1;
    private double meanMachine = 1;
    private int reportCount;
    private long reportNanos;

    private ServerSpeed() {}

    /** Returns the speed of a server of which nothing is known. */
    public static ServerSpeed create() {
        return new ServerSpeed();
    }

    /**
     * Records a piece of work; durations that are not positive and finite are ignored.
     *
     * @param expectedMs time in milliseconds that the work takes at a usual server
     * @param observedMs time in milliseconds that it has taken
     * @param nowNanos end of the work
     */
    public void onWork(double expectedMs, double observedMs, long nowNanos) {
        double sample = Math.log(observedMs / expectedMs / machine(nowNanos));
        if (!(expectedMs > 0 && observedMs > 0 && Double.isFinite(sample))) {
            return;
        }
        double current = learntLog(nowNanos);
        double weight = Math.max(WEIGHT, 1.0 / (START_COUNT + workCount));
        double step = (bounded(sample, MIN_LOG_SLOWNESS, MAX_LOG_SLOWNESS) - current) * weight;
        learntLog = current + bounded(step, -MAX_LOG_STEP, MAX_LOG_STEP);
        workCount = Math.min(workCount + 1, (int) (1 / WEIGHT));
        workNanos = nowNanos;
    }

    /**
     * Records a report of the server's machine; percentages that are not positive are ignored.
     *
     * @param percent how long work takes on the machine at this moment, in percent of the usual time
     * @param nowNanos time of the report
     */
    public void onReported(int percent, long nowNanos) {
        if (percent <= 0) {
            return;
        }
        machine = bounded(percent / PERCENT, MIN_MACHINE, MAX_MACHINE);
        reportNanos = nowNanos;
        reportCount = Math.min(reportCount + 1, (int) (1 / WEIGHT));
        meanMachine += (machine - meanMachine) * Math.max(WEIGHT, 1.0 / (reportCount + 1));
    }

    /** Returns how much longer work takes now than at a usual server; 1 if nothing is known. */
    public double slowness(long nowNanos) {
        return bounded(Math.exp(learntLog(nowNanos)) * machine(nowNanos), MIN_SLOWNESS, MAX_SLOWNESS);
    }

    /** Returns how much longer work takes on the average of the last reports. */
    public double meanSlowness(long nowNanos) {
        return bounded(Math.exp(learntLog(nowNanos)) * meanMachine, MIN_SLOWNESS, MAX_SLOWNESS);
    }

    /** Returns whether the server states the load of its machine. */
    public boolean isReported(long nowNanos) {
        return reportCount > 0 && nowNanos - reportNanos <= REPORTING_NANOS;
    }

    /** Returns whether the last report still counts. */
    public boolean isReportCurrent(long nowNanos) {
        return reportCount > 0 && nowNanos - reportNanos < REPORT_VALID_NANOS;
    }

    private double machine(long nowNanos) {
        if (!isReportCurrent(nowNanos)) {
            return meanMachine;
        }
        double share = 1 - (double) (nowNanos - reportNanos) / REPORT_VALID_NANOS;
        return meanMachine + (machine - meanMachine) * share;
    }

    private double learntLog(long nowNanos) {
        if (workCount == 0) {
            return 0;
        }
        long fadingNanos = Math.max(0, nowNanos - workNanos - MEMORY_NANOS);
        return learntLog * Math.pow(0.5, (double) fadingNanos / HALF_LIFE_NANOS);
    }

    private static double bounded(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }
}
