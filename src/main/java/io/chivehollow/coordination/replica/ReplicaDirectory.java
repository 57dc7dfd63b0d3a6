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
 * Knows at which addresses the replicas are.
 *
 * <p>With a peer port, an instance that has an IP address as its id is reached at that address, so that the membership
 * of the replica group says where its members are. The members are learned from any process that knows them, beginning
 * with the seeds, which may be out of date. Without a peer port the addresses are those of the settings, for good.
 *
 * <p>Invariant: the list of addresses is never empty; what an instance outside of the group says is used only while no
 * known replica answers. Thread-safe.
 */
public final class ReplicaDirectory implements CallHandler, AutoCloseable {

    /** Time between two questions; a replaced replica is known after at most twice this time. */
    private static final int PERIOD_MS = 1_000;

    /** A process answers at once; the rest is for a slow network. */
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
    private volatile int turn;

    private ReplicaDirectory(List<InetSocketAddress> seeds, OptionalInt peerPort, ConnectionPool connections) {
        this.peerPort = peerPort;
        this.connections = connections;
        this.seeds = atPeerPort(seeds);
        this.addresses = this.seeds;
    }

    /** Returns a directory that begins with the seeds; with a peer port it asks for the members from now on. */
    public static ReplicaDirectory start(
            List<InetSocketAddress> seeds, OptionalInt peerPort, ConnectionPool connections, Scheduler scheduler) {
        ReplicaDirectory directory = new ReplicaDirectory(seeds, peerPort, connections);
        if (peerPort.isPresent()) {
            directory.timer = scheduler.scheduleRepeating(PERIOD_MS, directory::ask);
        }
        return directory;
    }

    /** Returns the addresses of the replicas as far as they are known. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Returns the instances to which a new replica turns: the known members and those at the seeds. */
    public List<InstanceId> contacts() {
        List<InstanceId> contacts = new ArrayList<>();
        addresses.forEach(address -> contacts.add(instanceAt(address)));
        seeds.forEach(address -> contacts.add(instanceAt(address)));
        return contacts;
    }

    private static InstanceId instanceAt(InetSocketAddress address) {
        return InstanceId.of(address.getAddress().getHostAddress());
    }

    /** Returns the address of an instance whose id is an IP address. */
    public Optional<InetSocketAddress> address(InstanceId instance) {
        return address(instance.value());
    }

    private Optional<InetSocketAddress> address(String instance) {
        if (peerPort.isEmpty() || !InetAddresses.isInetAddress(instance)) {
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(InetAddresses.forString(instance), peerPort.getAsInt()));
    }

    /** Replaces the seeds, which are asked when no known replica answers. */
    public void setSeeds(List<InetSocketAddress> newSeeds) {
        List<InetSocketAddress> placed = atPeerPort(newSeeds);
        if (!placed.isEmpty() && !placed.equals(seeds)) {
            LOG.infof("The seeds are now %s", placed);
            seeds = placed;
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

    /** Calls the listener with the addresses and with every later list. */
    public void addListener(Consumer<List<InetSocketAddress>> listener) {
        listeners.add(listener);
        listener.accept(addresses);
    }

    /** Takes the members that a replica in this process knows from its log. */
    public void setLocalMembers(Supplier<List<InstanceId>> members) {
        localMembers = members;
    }

    private void ask() {
        turn++;
        List<String> local = localMembers.get().stream().map(InstanceId::value).toList();
        if (!local.isEmpty()) {
            accept(local);
            // Seeds that are not replicas learn the group from its members.
            query(nextOf(seeds), () -> {});
            return;
        }
        query(nextOf(addresses), () -> {
            hasLostReplicas = true;
            query(nextOf(seeds), () -> {});
        });
    }

    private InetSocketAddress nextOf(List<InetSocketAddress> list) {
        return list.get(Math.floorMod(turn, list.size()));
    }

    private void query(InetSocketAddress asked, Runnable otherwise) {
        connections
                .call(
                        asked,
                        Frame.newBuilder()
                                .setMembersQuery(MembersQuery.newBuilder().addAllInstances(instances)),
                        TIMEOUT_MS)
                .whenComplete((answer, failure) -> {
                    if (failure != null || answer.getMemberList().getInstancesCount() == 0) {
                        otherwise.run();
                    } else {
                        accept(answer.getMemberList().getInstancesList());
                    }
                });
    }

    private synchronized void accept(List<String> members) {
        hasLostReplicas = false;
        List<InetSocketAddress> found = new ArrayList<>();
        for (String member : members) {
            address(member).ifPresent(found::add);
        }
        if (found.isEmpty() || List.copyOf(found).equals(addresses)) {
            instances = List.copyOf(members);
            return;
        }
        LOG.infof("The replicas are now %s", members);
        instances = List.copyOf(members);
        addresses = List.copyOf(found);
        listeners.forEach(listener -> listener.accept(addresses));
    }

    /** Answers the question for the members at a process that is not a replica. */
    @Override
    public ServerCallListener onCall(ServerCall call, Frame first) {
        if (first.hasMembersQuery()) {
            List<String> told = first.getMembersQuery().getInstancesList();
            if (!told.isEmpty() && (instances.isEmpty() || hasLostReplicas)) {
                accept(told);
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
