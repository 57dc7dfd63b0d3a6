package io.chivehollow.demo;

import java.io.IOException;
import java.util.Random;

import org.jspecify.annotations.Nullable;

/**
 * HTTP client for the gateways of a system in which processes fail; reports a lost connection as status 0.
 *
 * <p>Thread-safe.
 */
final class GatewayClient {

    private final Cluster cluster;
    private final Api api = new Api();

    GatewayClient(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Sends a request with the operator key to a random gateway. */
    Api.Response callAdmin(String method, Random random, String path, @Nullable String body) {
        return send(method, random, path, body, "Authorization", "Bearer " + Cluster.OPERATOR_KEY);
    }

    /** Sends a request to a random gateway; returns a response with status 0 if the connection is lost. */
    Api.Response send(String method, Random random, String path, @Nullable String body, String... headers) {
        return sendTo(method, random.nextInt(cluster.gateways()), path, body, headers);
    }

    /** Sends a POST request to one gateway; returns a response with status 0 if the connection is lost. */
    Api.Response sendTo(int gateway, String path, String body, String... headers) {
        return sendTo("POST", gateway, path, body, headers);
    }

    private Api.Response sendTo(String method, int gateway, String path, @Nullable String body, String... headers) {
        try {
            return api.send(method, cluster.gatewayUrl(gateway) + path, body, headers);
        } catch (IOException e) {
            return new Api.Response(0, "");
        }
    }
}
