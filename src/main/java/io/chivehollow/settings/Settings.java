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
 * <p>Immutable and thread-safe, provided that nobody changes the secret's bytes. At least one role is present.
 *
 * @param instance the instance that this process is
 * @param failureDomain the failure domain of the instance
 * @param secret deployment secret, the content of the secret file
 * @param replicas addresses of all replicas
 * @param peerPort port at which instances with an IP address as their id are reached; the replicas are then seeds
 * @param metricsAddress address at which health, readiness and metrics are served, if the process serves them there
 * @param logFormat form of the log
 * @param gateway settings of the gateway role, if the process has it
 * @param sidecar settings of the sidecar role, if the process has it
 * @param replica settings of the replica role, if the process has it
 * @param forwarding settings of the forwarding role, if the process has it
 */
public record Settings(
        InstanceId instance,
        FailureDomain failureDomain,
        byte[] secret,
        List<InetSocketAddress> replicas,
        OptionalInt peerPort,
        @Nullable InetSocketAddress metricsAddress,
        LogFormat logFormat,
        @Nullable GatewaySettings gateway,
        @Nullable SidecarSettings sidecar,
        @Nullable ReplicaSettings replica,
        @Nullable ForwardingSettings forwarding) {

    public Settings {
        replicas = List.copyOf(replicas);
    }

    /** Settings without a peer port and the forwarding role. */
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
                gateway,
                sidecar,
                replica,
                null);
    }
}
