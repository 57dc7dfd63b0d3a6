package io.chivehollow.settings;

import java.net.InetSocketAddress;

import org.jspecify.annotations.Nullable;

/**
 * Settings of the forwarding role.
 *
 * <p>Immutable and thread-safe.
 *
 * @param adapter name of the adapter that translates between the platform on which the process runs and this software
 * @param address address at which the process serves callers
 * @param readinessAddress address at which the load balancer queries whether the process is ready
 * @param operatorAddress address at which operators publish deployments
 * @param peerAddress address at which other processes of the system reach this one, if it is not a replica
 * @param backendListAddress address of the platform's list of backend servers
 * @param backendListPeriodMs time between two reads of that list
 * @param freshnessMs longest proven age of the configuration up to which requests with an API key are served
 * @param toleratedTokens tokens by which a team of a deployment may exceed its limit, at all processes together
 * @param toleratedShare share of its limit by which a team of a deployment may exceed it in addition
 * @param toleranceWindowSeconds time window in seconds to which the tolerance applies, 0 if it is not known
 * @param retryShare retries that the platform tolerates for each request to a service
 * @param retrySlack retries that it tolerates in addition, in each window at all processes together
 * @param retryWindowSeconds time window in seconds in which it counts retries
 * @param shutdownMs longest time that a shutdown waits for open requests
 * @param locality settings for the choice between failure domains, or null if backend servers are selected without
 *     regard to their domain
 * @param queueOrder order in which requests wait for memory
 */
public record ForwardingSettings(
        String adapter,
        InetSocketAddress address,
        InetSocketAddress readinessAddress,
        InetSocketAddress operatorAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress backendListAddress,
        int backendListPeriodMs,
        int freshnessMs,
        long toleratedTokens,
        double toleratedShare,
        double toleranceWindowSeconds,
        double retryShare,
        double retrySlack,
        double retryWindowSeconds,
        int shutdownMs,
        @Nullable LocalitySettings locality,
        QueueOrder queueOrder) {}
