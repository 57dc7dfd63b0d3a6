package io.chivehollow.coordination.replica;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.common.net.InetAddresses;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.MemberList;
import io.chivehollow.protocol.wire.MembersQuery;
import io.chivehollow.transport.CallHandler;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import org.jboss.logging.Logger;

/**
 * Tracks the addresses of the replicas.
 *
 * <p>With a peer port, an instance whose id is an IP address is reached at that address and port, so that the members
 * of the replica group determine the addresses. The members are queried from any process that has the list, beginning
 * with the seeds, which may be out of date. Without a peer port, the addresses of the settings are used permanently.
 *
 * <p>Invariants: the list of addresses is never empty; members received from an instance outside of the group are used
 * only while no listed replica responds. Thread-safe.
 */
public final class ReplicaDirectory implements CallHandler, AutoCloseable {

    /** Time between two queries in ms; a replaced replica is detected after at most twice this time. */
    private static final int REFRESH_PERIOD_MS = 1_000;

    /** Query timeout in ms; a process responds immediately, the rest allows for a slow network. */
    private static final int TIMEOUT_MS = 800;

    private static final Logger LOG = Logger.getLogger(ReplicaDirectory.class);

    private final OptionalInt peerPort;
    private final ConnectionPool connections;
    private final List<Consumer<List<InetSocketAddress>>> listeners = new CopyOnWriteArrayList<>();
    private volatile List<InetSocketAddress> seeds;
    private volatile List<InetSocketAddress> addresses;
    private volatile List<String> instances = List.of();
    private volatile Supplier<List<InstanceId>> localMembers = List::of;
    private volatile boolean hasLostReplicas;
    private volatile Scheduler.Timer timer = () -> {};
    private volatile int refreshCount;

    private ReplicaDirectory(List<InetSocketAddress> seeds, OptionalInt peerPort, ConnectionPool connections) {
        this.peerPort = peerPort;
        this.connections = connections;
        this.seeds = atPeerPort(seeds);
        this.addresses = this.seeds;
    }

    /** Returns a directory that starts with the seeds; with a peer port it queries the members periodically. */
    public static ReplicaDirectory start(
            List<InetSocketAddress> seeds, OptionalInt peerPort, ConnectionPool connections, Scheduler scheduler) {
        ReplicaDirectory directory = new ReplicaDirectory(seeds, peerPort, connections);
        if (peerPort.isPresent()) {
            directory.timer = scheduler.scheduleRepeating(REFRESH_PERIOD_MS, directory::refresh);
        }
        return directory;
    }

    /** Returns the last received addresses of the replicas, or those of the seeds before that. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Returns the instances that a new replica contacts to join: the listed members and those at the seeds. */
    public List<InstanceId> contacts() {
        List<InstanceId> contacts = new ArrayList<>();
        addresses.forEach(address -> contacts.add(instanceAt(address)));
        seeds.forEach(address -> contacts.add(instanceAt(address)));
        return contacts;
    }

    private static InstanceId instanceAt(InetSocketAddress address) {
        return InstanceId.of(address.getAddress().getHostAddress());
    }

    /** Returns the address of an instance, or empty if its id is not an IP address or there is no peer port. */
    public Optional<InetSocketAddress> address(InstanceId instance) {
        return address(instance.value());
    }

    private Optional<InetSocketAddress> address(String instance) {
        if (peerPort.isEmpty() || !InetAddresses.isInetAddress(instance)) {
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(InetAddresses.forString(instance), peerPort.getAsInt()));
    }

    /** Replaces the seeds, which are queried when no listed replica responds; an empty list is ignored. */
    public void setSeeds(List<InetSocketAddress> newSeeds) {
        List<InetSocketAddress> withPeerPort = atPeerPort(newSeeds);
        if (!withPeerPort.isEmpty() && !withPeerPort.equals(seeds)) {
            LOG.infof("Seed addresses changed to %s; they are queried when no replica responds", withPeerPort);
            seeds = withPeerPort;
        }
    }

    private List<InetSocketAddress> atPeerPort(List<InetSocketAddress> listed) {
        if (peerPort.isEmpty()) {
            return List.copyOf(listed);
        }
        return listed.stream()
                .map(address -> new InetSocketAddress(address.getAddress(), peerPort.getAsInt()))
                .toList();
    }

    /** Calls the listener with the current addresses and after every change. */
    public void addListener(Consumer<List<InetSocketAddress>> listener) {
        listeners.add(listener);
        listener.accept(addresses);
    }

    /** Sets the source of the members for a process with a replica, which reads them from its log. */
    public void setLocalMembers(Supplier<List<InstanceId>> members) {
        localMembers = members;
    }

    private void refresh() {
        refreshCount++;
        List<String> local = localMembers.get().stream().map(InstanceId::value).toList();
        if (!local.isEmpty()) {
            setMembers(local);
            // Sends the members to seeds that are not replicas.
            query(nextOf(seeds), () -> {});
            return;
        }
        query(nextOf(addresses), () -> {
            hasLostReplicas = true;
            query(nextOf(seeds), () -> {});
        });
    }

    private InetSocketAddress nextOf(List<InetSocketAddress> list) {
        return list.get(Math.floorMod(refreshCount, list.size()));
    }

    private void query(InetSocketAddress process, Runnable onFailure) {
        connections
                .call(
                        process,
                        Frame.newBuilder()
                                .setMembersQuery(MembersQuery.newBuilder().addAllInstances(instances)),
                        TIMEOUT_MS)
                .whenComplete((response, failure) -> {
                    if (failure != null || response.getMemberList().getInstancesCount() == 0) {
                        onFailure.run();
                    } else {
                        setMembers(response.getMemberList().getInstancesList());
                    }
                });
    }

    private synchronized void setMembers(List<String> members) {
        hasLostReplicas = false;
        List<InetSocketAddress> found = new ArrayList<>();
        for (String member : members) {
            address(member).ifPresent(found::add);
        }
        if (found.isEmpty() || List.copyOf(found).equals(addresses)) {
            instances = List.copyOf(members);
            return;
        }
        LOG.infof("Members of the replica group changed to %s; using their addresses", members);
        instances = List.copyOf(members);
        addresses = List.copyOf(found);
        listeners.forEach(listener -> listener.accept(addresses));
    }

    /** Responds to queries for the members in a process that is not a replica. */
    @Override
    public ServerCallListener onCall(ServerCall call, Frame first) {
        if (first.hasMembersQuery()) {
            List<String> received = first.getMembersQuery().getInstancesList();
            if (!received.isEmpty() && (instances.isEmpty() || hasLostReplicas)) {
                setMembers(received);
            }
            call.finish(Frame.newBuilder().setMemberList(MemberList.newBuilder().addAllInstances(instances)));
        } else {
            call.fail(ErrorCode.NOT_LEADER, "This instance is not a replica", true);
        }
        return ServerCallListener.none();
    }

    @Override
    public void close() {
        timer.cancel();
    }
}
