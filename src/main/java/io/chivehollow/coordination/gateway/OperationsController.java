package io.chivehollow.coordination.gateway;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

/**
 * Serves health, readiness and metrics.
 *
 * <p>Thread-safe.
 */
@Controller
@Requires(beans = GatewayCore.class)
final class OperationsController {

    private static final MediaType PROMETHEUS = MediaType.of("text/plain;version=0.0.4;charset=utf-8");
    private static final int UNAVAILABLE = 503;

    private final GatewayCore core;

    OperationsController(GatewayCore core) {
        this.core = core;
    }

    @Get(uri = "/healthz", produces = MediaType.ALL)
    HttpResponse<?> health() {
        return HttpResponse.ok("ok\n").contentType(MediaType.TEXT_PLAIN_TYPE);
    }

    /** Returns status 503 until the first configuration was received, and from the start of a shutdown. */
    @Get(uri = "/readyz", produces = MediaType.ALL)
    HttpResponse<?> readiness() {
        if (core.isReady()) {
            return HttpResponse.ok("ready\n").contentType(MediaType.TEXT_PLAIN_TYPE);
        }
        return HttpResponse.status(UNAVAILABLE, "not ready").body("not ready\n").contentType(MediaType.TEXT_PLAIN_TYPE);
    }

    @Get(uri = "/metrics", produces = MediaType.ALL)
    HttpResponse<?> metrics() {
        return HttpResponse.ok(core.scrapeWriter().write()).contentType(PROMETHEUS);
    }
}
