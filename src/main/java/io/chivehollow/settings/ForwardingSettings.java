package io.chivehollow.settings;

import java.net.InetSocketAddress;

/**
 * Settings of the forwarding role.
 *
 * <p>Immutable and thread-safe.
 *
 * @param adapter name of the adapter that translates between the platform around the process and the product
 * @param address address at which callers are served
 * @param readinessAddress address at which the load balancer asks whether the process is ready
 * @param operatorAddress address at which operators publish deployments
 * @param peerAddress address at which other processes of the system reach this one, if it is not a replica
 * @param backendListAddress address of the platform's list of backend servers
 * @param backendListPeriodMs time between two readings of that list
 * @param freshnessMs greatest proven age of the configuration with which requests with an API key are served
 * @param toleratedTokens tokens by which a team may exceed its rate while no replica lends budgets, at all processes
 *     together
 * @param shutdownMs longest time that a shutdown waits for open requests
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
        int shutdownMs) {}
