package io.chivehollow.coordination.forwarding;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.config.ConfigView;
import io.chivehollow.coordination.gateway.TokenBudget;
import io.chivehollow.coordination.replica.ControlClient;
import io.netty.channel.EventLoopGroup;

/**
 * What the forwarding role needs from its process.
 *
 * <p>The parts are thread-safe, except for the random source, which the role uses on one event loop only.
 *
 * @param instance this instance
 * @param leads whether this instance holds the lease of the replicas' leader now
 * @param processes number of processes that forward requests
 * @param config copy of the released state
 * @param control way to the replicas
 * @param budget rates of the teams
 * @param eventLoops event loops of the process
 * @param scheduler runs timers
 * @param random draws services and backend servers
 * @param registry registry of the metrics
 */
public record ForwardingContext(
        InstanceId instance,
        BooleanSupplier leads,
        IntSupplier processes,
        ConfigView config,
        ControlClient control,
        TokenBudget budget,
        EventLoopGroup eventLoops,
        Scheduler scheduler,
        RandomGenerator random,
        MetricRegistry registry) {}
