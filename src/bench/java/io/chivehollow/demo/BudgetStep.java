package io.chivehollow.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Kills the leader twice while a team with a low rate and a large burst sends requests.
 *
 * <p>Guards against a team that loses its unused burst when a leader is killed, and against a new leader that lends
 * a burst again that its predecessor has already lent. Not thread-safe.
 */
final class BudgetStep implements FaultStep {

    private static final int REQUESTS = 6;
    private static final int MAX_TOKENS = 250;

    /** Rate of the team in {@link DemoRelease}, in tokens per second. */
    private static final int RATE_TOKENS_PER_SECOND = 10;

    /** Burst of the team in {@link DemoRelease}. */
    private static final int BURST_TOKENS = 600;

    private static final String REQUEST = "{\"model\": \"" + DemoRelease.MODEL
            + "\", \"prompt\": \"hello again\", \"max_tokens\": " + MAX_TOKENS + "}";

    private final FaultContext context;
    private final FaultRun.LeaderKiller leaderKiller;
    private int served;
    private int limited;

    BudgetStep(FaultContext context, FaultRun.LeaderKiller leaderKiller) {
        this.context = context;
        this.leaderKiller = leaderKiller;
    }

    @Override
    public String name() {
        return "budgets when leaders are lost";
    }

    @Override
    public String detail() {
        return served + " requests served, " + limited + " rejected with 429";
    }

    @Override
    public List<String> run() throws IOException {
        List<String> violations = new ArrayList<>();
        String key = context.steps().createKey("small");
        long startNanos = System.nanoTime();
        int firstKilled = leaderKiller.kill();
        sendRequests(firstKilled, key);
        if (served == 0) {
            violations.add(
                    "all requests of a team with an unused burst were rejected with 429 after the leader was killed");
        }
        context.cluster().startGateway(firstKilled);
        context.steps().awaitReady();
        int secondKilled = leaderKiller.kill();
        sendRequests(secondKilled, key);
        context.cluster().startGateway(secondKilled);
        context.steps().awaitReady();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double limit = BURST_TOKENS + RATE_TOKENS_PER_SECOND * seconds;
        if ((long) served * MAX_TOKENS > limit) {
            violations.add(served + " requests of " + MAX_TOKENS + " tokens were served, but rate and burst allow only "
                    + limit + " tokens");
        }
        return violations;
    }

    private void sendRequests(int killed, String key) {
        int gateways = context.cluster().gateways();
        for (int i = 0; i < REQUESTS; i++) {
            int gateway = (killed + 1 + i % (gateways - 1)) % gateways;
            context.await(
                    "response with status 200 or 429 from gateway-" + gateway, () -> isServedOrLimited(gateway, key));
        }
    }

    /** Sends a request and counts its response; while there is no leader, gateways respond with 503 and "not run". */
    private boolean isServedOrLimited(int gateway, String key) {
        Api.Response response =
                context.client().sendTo(gateway, "/v1/completions", REQUEST, "Authorization", "Bearer " + key);
        served += response.status() == 200 ? 1 : 0;
        limited += response.status() == 429 ? 1 : 0;
        return response.status() == 200 || response.status() == 429;
    }
}
