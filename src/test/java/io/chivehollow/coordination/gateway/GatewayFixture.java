package io.chivehollow.coordination.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.config.ApiKeys;
import io.chivehollow.coordination.config.ConfigView;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.coordination.placement.Candidate;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.protocol.wire.ApiKey;
import io.chivehollow.protocol.wire.BackendServer;
import io.chivehollow.protocol.wire.ChangeMembers;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.MembersChanged;
import io.chivehollow.protocol.wire.Model;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.PoolRole;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.QueryResult;
import io.chivehollow.protocol.wire.ReleasedState;
import io.chivehollow.protocol.wire.Route;
import io.chivehollow.protocol.wire.StatusReport;
import io.chivehollow.protocol.wire.Team;
import io.chivehollow.settings.GatewaySettings;
import io.chivehollow.settings.LogFormat;
import io.chivehollow.settings.Settings;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.TransportOptions;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/** A gateway with fake sidecars, a fake replica leader and a fake token budget; everything else is real. */
final class GatewayFixture implements AutoCloseable {

    static final String OPERATOR_KEY = "operator-key-for-tests";
    static final String MODEL = "long-1";
    static final byte[] SECRET = "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    final ScheduledExecutorService executor = Executors.newScheduledThreadPool(1);
    final List<FakeSidecar> prefill = sidecars("prefill");
    final List<FakeSidecar> decode = sidecars("decode");
    final List<FakeSidecar> plain = sidecars("plain");
    final FakeConfig config = new FakeConfig();
    final FakeBudget budget = new FakeBudget();
    final FakeControl control = new FakeControl();
    final MetricRegistry registry = new MetricRegistry();
    final ManualScheduler scheduler = new ManualScheduler(Scheduler.on(executor));
    final ApiKeys.NewKey key = ApiKeys.of(SECRET).generate(new SecureRandom());
    volatile List<Candidate> prefillCandidates = List.of();
    final ConnectionPool connections;
    final GatewayRole gateway;
    final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    GatewayFixture() {
        this(Options.defaults());
    }

    GatewayFixture(Options options) {
        this(options, Set.of());
    }

    GatewayFixture(Options options, Set<GatewaySafeguard> disabledSafeguards) {
        config.state = state(options.poolSize());
        TransportOptions transport = TransportOptions.of(InstanceId.of("gateway-1"), "gateway", SECRET);
        connections = ConnectionPool.create(FrameClient.create(transport, loops), loops);
        GatewaySettings gatewaySettings = new GatewaySettings(
                new InetSocketAddress("127.0.0.1", 0),
                OPERATOR_KEY.getBytes(StandardCharsets.US_ASCII),
                options.maxBodyBytes(),
                8_192,
                options.readTimeoutMs(),
                options.writeTimeoutMs(),
                1 << 18,
                options.requestTimeoutMs(),
                options.queueMs(),
                options.queueMs(),
                options.shutdownMs(),
                options.subsetSize());
        Settings settings = new Settings(
                InstanceId.of("gateway-1"),
                FailureDomain.of("d1"),
                SECRET,
                List.of(new InetSocketAddress("127.0.0.1", 1)),
                null,
                LogFormat.TEXT,
                gatewaySettings,
                null,
                null);
        gateway = GatewayRole.start(
                settings,
                new GatewayServices(
                        config,
                        budget,
                        control,
                        connections,
                        this::keepOrder,
                        new Random(42),
                        Clock.system(),
                        scheduler,
                        registry),
                disabledSafeguards);
    }

    private List<Candidate> keepOrder(PlacementRequest request, List<Candidate> candidates, RandomGenerator random) {
        if (request.role() == PlacementRequest.ServerRole.PREFILL) {
            prefillCandidates = List.copyOf(candidates);
        }
        return candidates;
    }

    /** Starts three sidecars; the first two are in the configuration, unless a test configures a pool size of three. */
    private List<FakeSidecar> sidecars(String pool) {
        return Stream.of("-a", "-b", "-c")
                .map(suffix -> new FakeSidecar(pool + suffix, SECRET, loops))
                .toList();
    }

    private ReleasedState state(int poolSize) {
        return ReleasedState.newBuilder()
                .setVersion(1)
                .addTeams(Team.newBuilder().setId("team-a").setRateTokensPerSecond(1_000))
                .addKeys(ApiKey.newBuilder().setId(key.id()).setTeam("team-a").setSecretMac(key.secretMac()))
                .addDomains(Domain.newBuilder().setId("d1"))
                .addModels(
                        Model.newBuilder().setId(MODEL).setContextTokens(1_000).setDefaultOutputTokens(100))
                .addPools(pool("prefill", PoolRole.PREFILL, prefill.subList(0, poolSize)))
                .addPools(pool("decode", PoolRole.DECODE, decode.subList(0, poolSize)))
                .addPools(pool("plain", PoolRole.PLAIN, plain.subList(0, poolSize)))
                .addRoutes(route("/open", true, true))
                .addRoutes(route("/search", false, true))
                .addRoutes(route("/orders", false, false))
                .build();
    }

    private static Route.Builder route(String path, boolean open, boolean idempotent) {
        return Route.newBuilder().setPath(path).setPool("plain").setOpen(open).setIdempotent(idempotent);
    }

    private static Pool pool(String id, PoolRole role, List<FakeSidecar> sidecars) {
        Pool.Builder pool = Pool.newBuilder().setId(id).setRole(role).addModels(MODEL);
        for (int i = 0; i < sidecars.size(); i++) {
            pool.addServers(BackendServer.newBuilder()
                    .setId(id + "-" + i)
                    .setDomain("d1")
                    .setSidecarAddress(HostAndPorts.toText(sidecars.get(i).address())));
        }
        return pool.build();
    }

    URI uri(String path) {
        return URI.create("http://127.0.0.1:" + gateway.address().getPort() + path);
    }

    HttpRequest.Builder requestWithKey(String path) {
        return HttpRequest.newBuilder(uri(path)).header("Authorization", "Bearer " + key.text());
    }

    HttpRequest post(String path, String body) {
        return requestWithKey(path)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    static String chat(boolean stream) {
        return "{\"model\":\"" + MODEL + "\",\"messages\":[{\"role\":\"user\",\"content\":\"secret-prompt\"}],"
                + "\"max_tokens\":10,\"custom\":{\"x\":1},\"stream\":" + stream
                + (stream ? ",\"stream_options\":{\"include_usage\":true}}" : "}");
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Runs a request through prefill up to the start of decode and returns the decode call. */
    FakeSidecar.Call runUntilDecodeStart() throws InterruptedException {
        FakeSidecar.Call admit = prefill.get(0).next(io.chivehollow.protocol.wire.Frame.BodyCase.ADMIT_PREFILL);
        admit.sendPrefillReady();
        FakeSidecar.Call reserve = decode.get(0).next(io.chivehollow.protocol.wire.Frame.BodyCase.RESERVE_DECODE);
        reserve.sendDecodeReserved("r-1");
        admit.nextFrame(io.chivehollow.protocol.wire.Frame.BodyCase.START_PREFILL);
        admit.sendPrefillDone("h-1");
        reserve.nextFrame(io.chivehollow.protocol.wire.Frame.BodyCase.START_DECODE);
        return reserve;
    }

    /** Allows decode engines to prefill prompts of at most this number of tokens themselves. */
    void allowDirect(int promptTokens) {
        ReleasedState.Builder changed = config.state.toBuilder().setVersion(config.state.getVersion() + 1);
        changed.getModelsBuilder(0).setDirectPromptTokens(promptTokens);
        config.state = changed.build();
    }

    void setFirstTokenTarget(int targetMs) {
        ReleasedState.Builder changed = config.state.toBuilder().setVersion(config.state.getVersion() + 1);
        changed.getModelsBuilder(0).setFirstTokenTargetMs(targetMs);
        config.state = changed.build();
    }

    /** Removes the API key from the configuration. */
    void withdrawKey() {
        config.state = config.state.toBuilder().clearKeys().setVersion(2).build();
    }

    @Override
    public void close() {
        gateway.stopNow();
        connections.close();
        for (List<FakeSidecar> sidecars : List.of(prefill, decode, plain)) {
            sidecars.forEach(FakeSidecar::close);
        }
        executor.shutdownNow();
        loops.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }

    /** Limits of the gateway that some tests change. */
    record Options(
            int maxBodyBytes,
            int readTimeoutMs,
            int writeTimeoutMs,
            int requestTimeoutMs,
            int queueMs,
            int shutdownMs,
            int poolSize,
            int subsetSize) {

        static Options defaults() {
            return new Options(100_000, 60_000, 60_000, 60_000, 50_000, 60_000, 2, 48);
        }

        /** Pools of three backend servers, of which two are in the gateway's subset. */
        Options withServerOutsideSubset() {
            return with(readTimeoutMs, writeTimeoutMs, queueMs, shutdownMs, 3, 1);
        }

        Options withReadTimeoutMs(int ms) {
            return with(ms, writeTimeoutMs, queueMs, shutdownMs, poolSize, subsetSize);
        }

        Options withWriteTimeoutMs(int ms) {
            return with(readTimeoutMs, ms, queueMs, shutdownMs, poolSize, subsetSize);
        }

        Options withQueueMs(int ms) {
            return with(readTimeoutMs, writeTimeoutMs, ms, shutdownMs, poolSize, subsetSize);
        }

        Options withShutdownMs(int ms) {
            return with(readTimeoutMs, writeTimeoutMs, queueMs, ms, poolSize, subsetSize);
        }

        private Options with(int readMs, int writeMs, int queue, int shutdown, int pool, int subset) {
            return new Options(maxBodyBytes, readMs, writeMs, requestTimeoutMs, queue, shutdown, pool, subset);
        }
    }

    /** A configuration that tests change. */
    static final class FakeConfig implements ConfigView {

        volatile ReleasedState state = ReleasedState.getDefaultInstance();
        volatile boolean fresh = true;

        @Override
        public Optional<Configuration> current() {
            return Optional.of(Configuration.of(state));
        }

        @Override
        public boolean isFresh() {
            return fresh;
        }
    }

    /** A budget that grants immediately, refuses, or lets requests wait until {@link #grantSignal} completes. */
    static final class FakeBudget implements TokenBudget {

        final List<Long> reserved = new CopyOnWriteArrayList<>();
        final List<CompletableFuture<Reservation>> reservations = new CopyOnWriteArrayList<>();
        final List<Long> settled = new CopyOnWriteArrayList<>();
        volatile boolean refusesAll;
        volatile OptionalLong waitMs = OptionalLong.empty();
        volatile CompletableFuture<Void> grantSignal = CompletableFuture.completedFuture(null);

        @Override
        public CompletableFuture<Reservation> reserve(TeamId team, long tokens, long waitMs) {
            if (refusesAll) {
                return CompletableFuture.failedFuture(
                        CoordinationException.notRun(ErrorCode.RATE_LIMITED, "over the rate"));
            }
            reserved.add(tokens);
            CompletableFuture<Reservation> granted = grantSignal.thenApply(open -> settled::add);
            reservations.add(granted);
            return granted;
        }

        @Override
        public OptionalLong waitMs(TeamId team, long tokens) {
            return waitMs;
        }
    }

    /** A replica leader whose responses a test sets. */
    static final class FakeControl implements ControlCommands {

        final List<Command> commands = new CopyOnWriteArrayList<>();
        final List<ChangeMembers> changes = new CopyOnWriteArrayList<>();
        volatile StatusReport report =
                StatusReport.newBuilder().setState("leader").build();
        volatile Function<ChangeMembers, CompletableFuture<MembersChanged>> changeResponse =
                change -> CompletableFuture.completedFuture(MembersChanged.newBuilder()
                        .setInstance(change.getInstance())
                        .build());
        volatile Supplier<CompletableFuture<?>> beforeQuery = () -> CompletableFuture.completedFuture(null);
        volatile Function<Command, CompletableFuture<CommandResult>> commandResponse =
                command -> CompletableFuture.completedFuture(CommandResult.getDefaultInstance());

        private final ControlState state = ControlState.create();
        private long index;

        /** Applies commands to a real state machine, as a replica group without failures would. */
        ControlState useRealState() {
            commandResponse = this::commit;
            return state;
        }

        private synchronized CompletableFuture<CommandResult> commit(Command command) {
            Command timed =
                    command.toBuilder().setTimeMs(System.currentTimeMillis()).build();
            index++;
            try {
                return CompletableFuture.completedFuture(
                        CommandResult.parseFrom(state.apply(index, timed.toByteArray())));
            } catch (InvalidProtocolBufferException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        @Override
        public CompletableFuture<CommandResult> submit(Command command) {
            commands.add(command);
            return commandResponse.apply(command);
        }

        @Override
        public CompletableFuture<QueryResult> query(Query query) {
            return beforeQuery.get().thenApply(ready -> QueryResult.newBuilder()
                    .addAllReleases(state.releases())
                    .build());
        }

        @Override
        public CompletableFuture<MembersChanged> changeMembers(ChangeMembers change) {
            changes.add(change);
            return changeResponse.apply(change);
        }

        @Override
        public CompletableFuture<StatusReport> status(InetSocketAddress replica) {
            return CompletableFuture.completedFuture(report);
        }
    }

    /** Runs repeating tasks only when the test calls {@link #runRepeatingTasks}. */
    static final class ManualScheduler implements Scheduler {

        private final Scheduler delegate;
        private final List<Runnable> repeating = new CopyOnWriteArrayList<>();

        ManualScheduler(Scheduler delegate) {
            this.delegate = delegate;
        }

        @Override
        public Timer schedule(long delayMs, Runnable task) {
            return delegate.schedule(delayMs, task);
        }

        @Override
        public Timer scheduleRepeating(long periodMs, Runnable task) {
            repeating.add(task);
            return () -> repeating.remove(task);
        }

        void runRepeatingTasks() {
            new ArrayList<>(repeating).forEach(Runnable::run);
        }
    }
}
