package io.chivehollow.coordination.forwarding;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.config.ConfigView;
import io.chivehollow.coordination.crash.CrashLedger;
import io.chivehollow.coordination.gateway.TokenBudget;
import io.chivehollow.coordination.replica.ControlClient;
import io.chivehollow.settings.ProcessLimits;
import io.netty.channel.EventLoopGroup;

/**
 * The components of the process that the forwarding role uses.
 *
 * <p>The components are thread-safe, except for the random generator, which the role uses on one event loop only.
 *
 * @param instance this instance
 * @param failureDomain failure domain of this instance
 * @param isLeader whether this instance currently holds the lease of the replicas' leader
 * @param processCount number of processes that forward requests
 * @param config copy of the released state
 * @param control client of the replicas
 * @param budget token budgets of the teams
 * @param crashes crashes of backend servers, shared with the other processes
 * @param eventLoops event loops of the process
 * @param scheduler runs timers
 * @param random selects services and backend servers
 * @param registry registry of the metrics
 * @param limits what the machine grants to the process
 */
public record ForwardingContext(
        InstanceId instance,
        FailureDomain failureDomain,
        BooleanSupplier isLeader,
        IntSupplier processCount,
        ConfigView config,
        ControlClient control,
        TokenBudget budget,
        CrashLedger crashes,
        EventLoopGroup eventLoops,
        Scheduler scheduler,
        RandomGenerator random,
        MetricRegistry registry,
        ProcessLimits limits) {}
