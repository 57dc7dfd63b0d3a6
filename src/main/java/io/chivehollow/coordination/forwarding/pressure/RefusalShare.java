package io.chivehollow.coordination.forwarding.pressure;

import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which new requests are refused while the process is overloaded: no more than are needed, the least urgent
 * first, and never all of them.
 *
 * <p>Load: several times the requests that the processor, the link or the memory of the process can serve, for seconds.
 * The share of refused requests grows with the excess of use and falls in small steps, so that it settles near what is
 * needed. Not thread-safe.
 */
public final class RefusalShare {

    /** Requests that are still served show when the load has ended. */
    static final double MAX_SHARE = 0.9;

    /** Change of the share in one step for an excess delay of 1. */
    private static final double DELAY_GAIN = 0.05;

    /** Change of the share in one step for an excess level of 1; a level exceeds its bound by a tenth at most. */
    private static final double LEVEL_GAIN = 0.5;

    /** While requests are refused, the delay is kept this far below the bound, so that its peaks are within it. */
    private static final double DELAY_AIM = 0.25;

    private static final double MAX_RISE = 0.2;

    /** Fall of the share in one step; a greater one would let the delay rise again and again during one burst. */
    private static final double FALL = 0.005;

    /** Fall of the share once there has been no delay for {@link #CALM_STEPS}. */
    private static final double CALM_FALL = 0.05;

    private static final int CALM_STEPS = 10;
    private static final double CALM_DELAY = 0.05;
    private static final double CALM_LEVEL = 0.9;

    /** Part of the counted arrivals that remains in each step, so that the counts cover about two seconds. */
    private static final double COUNT_DECAY = 0.9;

    private final TreeMap<Integer, Arrivals> byPriority = new TreeMap<>();
    private double share;
    private double lastDelayUse;
    private int calmSteps;

    private RefusalShare() {}

    /** Returns an instance that refuses nothing. */
    public static RefusalShare create() {
        return new RefusalShare();
    }

    /**
     * Adjusts the share; called every {@link ProcessLoad#TICK_MS}.
     *
     * @param delayUse delay of the event loop as a share of its bound
     * @param levelUse greatest use of the other resources
     */
    public void update(double delayUse, double levelUse) {
        calmSteps = delayUse < CALM_DELAY && levelUse < CALM_LEVEL ? calmSteps + 1 : 0;
        double delayChange = DELAY_GAIN * (delayUse / (share > 0 ? DELAY_AIM : 1) - 1);
        if (delayUse < lastDelayUse) {
            // The queue gets shorter with the present share.
            delayChange = Math.min(0, delayChange);
        }
        lastDelayUse = delayUse;
        double change = Math.min(MAX_RISE, Math.max(delayChange, LEVEL_GAIN * (levelUse - 1)));
        change = Math.max(calmSteps < CALM_STEPS ? -FALL : -CALM_FALL, change);
        if (share == 0 && change <= 0) {
            return;
        }
        share = Math.max(0, Math.min(MAX_SHARE, share + change));
        byPriority.values().forEach(arrivals -> arrivals.count *= COUNT_DECAY);
        distribute();
    }

    /** Distributes the share over the priorities, the least urgent first. */
    private void distribute() {
        double total = byPriority.values().stream()
                .mapToDouble(arrivals -> arrivals.count)
                .sum();
        double toRefuse = share * total;
        for (Map.Entry<Integer, Arrivals> entry : byPriority.descendingMap().entrySet()) {
            Arrivals arrivals = entry.getValue();
            double refused = Math.min(toRefuse, MAX_SHARE * arrivals.count);
            arrivals.refusedShare = arrivals.count > 0 ? refused / arrivals.count : share;
            toRefuse -= refused;
        }
    }

    /** Returns whether any request is refused. */
    public boolean isActive() {
        return share > 0;
    }

    /** Returns the share of new requests that is refused. */
    public double share() {
        return share;
    }

    /** Counts a new request of the given priority, 0 being the most urgent, and returns whether it is refused. */
    public boolean refuses(int priority) {
        if (share == 0) {
            return false;
        }
        Arrivals arrivals = byPriority.computeIfAbsent(priority, first -> new Arrivals(share));
        arrivals.count++;
        arrivals.debt += arrivals.refusedShare;
        if (arrivals.debt < 1) {
            return false;
        }
        arrivals.debt--;
        return true;
    }

    /** Returns the time in milliseconds after which nothing is refused any more if the load ends now. */
    public long retryAfterMs() {
        return Math.round((CALM_STEPS + share / CALM_FALL) * ProcessLoad.TICK_MS);
    }

    /** Recent requests of one priority. */
    private static final class Arrivals {

        private double count;
        private double refusedShare;
        private double debt;

        Arrivals(double refusedShare) {
            this.refusedShare = refusedShare;
        }
    }
}
