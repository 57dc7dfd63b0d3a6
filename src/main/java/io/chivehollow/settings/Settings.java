package io.chivehollow.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalInt;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one process.
 *
 * <p>Immutable and thread-safe, provided that the bytes of the secret are not modified. At least one role is present.
 *
 * @param instance id of the instance, which is this process
 * @param failureDomain the failure domain of the instance
 * @param secret deployment secret, from the settings or the content of the secret file
 * @param replicas addresses of all replicas
 * @param peerPort port at which instances with an IP address as their id are reached; if present, {@code replicas}
 *     are seeds
 * @param metricsAddress address at which health, readiness and metrics are served, or null if they are not served there
 * @param logFormat format of the log
 * @param limits what the machine grants to the process
 * @param gateway settings of the gateway role, or null if the process does not run it
 * @param sidecar settings of the sidecar role, or null if the process does not run it
 * @param replica settings of the replica role, or null if the process does not run it
 * @param forwarding settings of the forwarding role, or null if the process does not run it
 */
public record Settings(
        InstanceId instance,
        FailureDomain failureDomain,
        byte[] secret,
        List<InetSocketAddress> replicas,
        OptionalInt peerPort,
        @Nullable InetSocketAddress metricsAddress,
        LogFormat logFormat,
        ProcessLimits limits,
        @Nullable GatewaySettings gateway,
        @Nullable SidecarSettings sidecar,
        @Nullable ReplicaSettings replica,
        @Nullable ForwardingSettings forwarding) {

    public Settings {
        replicas = List.copyOf(replicas);
    }

    /** Creates settings without a peer port, without known limits and without the forwarding role. */
    public Settings(
            InstanceId instance,
            FailureDomain failureDomain,
            byte[] secret,
            List<InetSocketAddress> replicas,
            @Nullable InetSocketAddress metricsAddress,
            LogFormat logFormat,
            @Nullable GatewaySettings gateway,
            @Nullable SidecarSettings sidecar,
            @Nullable ReplicaSettings replica) {
        this(
                instance,
                failureDomain,
                secret,
                replicas,
                OptionalInt.empty(),
                metricsAddress,
                logFormat,
                ProcessLimits.unknown(),
                gateway,
                sidecar,
                replica,
                null);
    }
}
