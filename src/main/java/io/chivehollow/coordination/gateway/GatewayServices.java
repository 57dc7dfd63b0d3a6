package io.chivehollow.coordination.gateway;

import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.Clock;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.config.ConfigView;
import io.chivehollow.coordination.placement.PlacementPolicy;
import io.chivehollow.transport.ConnectionPool;

/**
 * The services that a gateway uses from the rest of its process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param config this process's copy of the configuration
 * @param budget admits requests within their team's token rate
 * @param control sends commands and queries to the replica leader
 * @param connections connections to sidecars
 * @param placement chooses backend servers
 * @param random source of random choices
 * @param clock source of time
 * @param scheduler runs timers
 * @param registry metrics of the process
 */
public record GatewayServices(
        ConfigView config,
        TokenBudget budget,
        ControlCommands control,
        ConnectionPool connections,
        PlacementPolicy placement,
        RandomGenerator random,
        Clock clock,
        Scheduler scheduler,
        MetricRegistry registry) {}
