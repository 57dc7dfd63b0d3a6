package io.chivehollow.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Takes a failure domain out of service and brings it back, twice, while orders and completions are sent.
 *
 * <p>Guards against an outage during the change and against a response that says "not run" although the order has run.
 * Every order has an idempotency key of its own and is sent once, so that the ledger contradicts each false response.
 * Not thread-safe.
 */
final class DomainStep implements FaultStep {

    private static final int CALLERS = 2;
    private static final int ROUNDS = 2;
    private static final String REQUEST =
            "{\"model\": \"" + DemoRelease.MODEL + "\", \"prompt\": \"short\", \"max_tokens\": 4}";

    private final FaultContext context;
    private final OrderHistory history;
    private final String domain;
    private final boolean hasOtherOrderServer;
    private final AtomicBoolean isStopped = new AtomicBoolean();
    private final AtomicInteger orders = new AtomicInteger();
    private final AtomicInteger completions = new AtomicInteger();
    private final AtomicInteger notRunOrders = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();

    /**
     * Returns a step for a domain.
     *
     * @param hasOtherOrderServer whether a backend server outside the domain can serve orders
     */
    DomainStep(FaultContext context, OrderHistory history, String domain, boolean hasOtherOrderServer) {
        this.context = context;
        this.history = history;
        this.domain = domain;
        this.hasOtherOrderServer = hasOtherOrderServer;
    }

    @Override
    public String name() {
        return domain + " out and in twice";
    }

    @Override
    public String detail() {
        return "served %d orders and %d completions; %d rejected or failed, of which %d orders not run"
                .formatted(orders.get(), completions.get(), failures.get(), notRunOrders.get());
    }

    @Override
    public List<String> run() throws IOException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Random orderRandom = new Random(context.random().nextLong());
            Random completionRandom = new Random(context.random().nextLong());
            threads.add(new Thread(() -> runUntilStopped(() -> sendOrder(orderRandom)), "orders"));
            threads.add(new Thread(() -> runUntilStopped(() -> sendCompletion(completionRandom)), "completions"));
        }
        threads.forEach(Thread::start);
        try {
            for (int round = 0; round < ROUNDS; round++) {
                changeDomain("out", hasOtherOrderServer);
                changeDomain("in", true);
            }
        } finally {
            isStopped.set(true);
            join(threads);
        }
        return history.contradictions(context.steps().ledger());
    }

    private void changeDomain(String direction, boolean expectsOrders) {
        String path = "/admin/v1/domains/" + domain + "/" + direction;
        context.await(
                domain + " " + direction,
                () -> context.client()
                                .callAdmin("POST", context.random(), path, null)
                                .status()
                        == 200);
        int ordersBefore = orders.get();
        int completionsBefore = completions.get();
        int notRunBefore = notRunOrders.get();
        // One response for each caller may date from before the change, so more responses than callers are awaited.
        // Orders that only this domain can serve must be rejected while it is out; otherwise the next change could come
        // before this one is in effect.
        context.await(
                "responses with " + domain + " " + direction,
                () -> completions.get() > completionsBefore + CALLERS
                        && (expectsOrders
                                ? orders.get() > ordersBefore + CALLERS
                                : notRunOrders.get() > notRunBefore + CALLERS));
    }

    private void runUntilStopped(Runnable call) {
        while (!isStopped.get()) {
            call.run();
        }
    }

    private void sendOrder(Random random) {
        String idempotencyKey = DemoSteps.newIdempotencyKey();
        Api.Response response = context.client()
                .send(
                        "POST",
                        random,
                        "/orders",
                        "{\"sheets\": 2}",
                        "Authorization",
                        "Bearer " + context.key(),
                        "Idempotency-Key",
                        idempotencyKey);
        history.add(idempotencyKey, response);
        count(response, orders);
        if (response.json().path("error").path("not_run").asBoolean(false)) {
            notRunOrders.incrementAndGet();
        }
    }

    private void sendCompletion(Random random) {
        count(
                context.client()
                        .send("POST", random, "/v1/completions", REQUEST, "Authorization", "Bearer " + context.key()),
                completions);
    }

    private void count(Api.Response response, AtomicInteger served) {
        (response.status() == 200 ? served : failures).incrementAndGet();
    }

    private static void join(List<Thread> threads) {
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
