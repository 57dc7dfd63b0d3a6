package io.chivehollow.coordination.sidecar;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedDeque;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.coldstart.RampConfig;
import io.chivehollow.coordination.loads.WeightLoadPermits;
import io.chivehollow.protocol.wire.AdmitPrefill;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.PlainCall;
import io.chivehollow.protocol.wire.PrefillDone;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.protocol.wire.ReserveDecode;
import io.chivehollow.protocol.wire.SidecarStatus;
import io.chivehollow.protocol.wire.SidecarStatusQuery;
import io.chivehollow.protocol.wire.StartDecode;
import io.chivehollow.protocol.wire.StartPrefill;
import io.chivehollow.settings.LogFormat;
import io.chivehollow.settings.Settings;
import io.chivehollow.settings.SidecarSettings;
import io.chivehollow.standin.EngineOptions;
import io.chivehollow.standin.PlainServiceOptions;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.standin.StandInPlainService;
import io.chivehollow.transport.ClientConnection;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.TransportOptions;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/** Creates the sidecars, stand-ins and connections of one test and closes them in reverse order. */
final class SidecarHarness implements AutoCloseable {

    static final String PATH = "/v1/completions";
    private static final byte[] SECRET = "a deployment secret for tests".getBytes(StandardCharsets.UTF_8);

    final MetricRegistry registry = new MetricRegistry();
    final TestConfigView view = new TestConfigView();
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Deque<AutoCloseable> resources = new ConcurrentLinkedDeque<>();
    private final Set<SidecarSafeguard> disabledSafeguards = EnumSet.noneOf(SidecarSafeguard.class);
    private int maxConcurrent = 8;
    private double fixedMs = 2_000;
    private long linkBytesPerSecond = 100_000_000_000L;
    private int readyTimeoutMs = 60_000;
    private int transferTimeoutMs = 60_000;
    private int slowTokenMs = 60_000;
    private int callTimeoutMs = 60_000;
    private WeightLoadPermits weightLoadPermits = WeightLoadPermits.unlimited();
    private StartRecord startRecord = new StartRecord(100, 10);

    SidecarHarness without(SidecarSafeguard... safeguards) {
        disabledSafeguards.addAll(List.of(safeguards));
        return this;
    }

    SidecarHarness with(SidecarSafeguard safeguard) {
        disabledSafeguards.remove(safeguard);
        return this;
    }

    SidecarHarness maxConcurrent(int value) {
        maxConcurrent = value;
        return this;
    }

    SidecarHarness fixedMs(double value) {
        fixedMs = value;
        return this;
    }

    SidecarHarness linkBytesPerSecond(long value) {
        linkBytesPerSecond = value;
        return this;
    }

    SidecarHarness readyTimeoutMs(int value) {
        readyTimeoutMs = value;
        return this;
    }

    SidecarHarness transferTimeoutMs(int value) {
        transferTimeoutMs = value;
        return this;
    }

    SidecarHarness slowTokenMs(int value) {
        slowTokenMs = value;
        return this;
    }

    SidecarHarness callTimeoutMs(int value) {
        callTimeoutMs = value;
        return this;
    }

    SidecarHarness weightLoadPermits(WeightLoadPermits value) {
        weightLoadPermits = value;
        return this;
    }

    SidecarHarness startRecord(StartRecord value) {
        startRecord = value;
        return this;
    }

    StandInEngine engine(String... options) {
        return closeAtEnd(StandInEngine.start(EngineOptions.parse(options)));
    }

    StandInPlainService plainService() {
        return closeAtEnd(StandInPlainService.start(PlainServiceOptions.defaults()));
    }

    SidecarRole sidecar(SidecarSettings.BackendKind kind, InetSocketAddress backend) {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        BackendServerId server = BackendServerId.of("server-" + kind.name().toLowerCase(java.util.Locale.ROOT));
        SidecarSettings sidecar = new SidecarSettings(
                any,
                server,
                backend,
                kind,
                64,
                4096,
                maxConcurrent,
                linkBytesPerSecond,
                callTimeoutMs,
                800,
                transferTimeoutMs,
                45_000,
                60,
                100);
        FailureDomain domain = FailureDomain.of("domain-1");
        Settings settings = new Settings(
                InstanceId.of("sidecar-" + kind), domain, SECRET, List.of(), null, LogFormat.TEXT, null, sidecar, null);
        SidecarOptions options = new SidecarOptions(
                server,
                domain,
                kind,
                64,
                4096,
                linkBytesPerSecond,
                new RampConfig(maxConcurrent, fixedMs, 1),
                800,
                readyTimeoutMs,
                transferTimeoutMs,
                slowTokenMs,
                20);
        StartRecordSource source = () -> CompletableFuture.completedFuture(startRecord);
        SidecarServices services = new SidecarServices(view, source, weightLoadPermits, registry);
        SidecarRole role = SidecarRole.start(settings, sidecar, options, eventLoops, services, disabledSafeguards);
        resources.push(role::stopNow);
        return role;
    }

    /** Starts a sidecar, waits until it accepts work, and connects to it. */
    ClientConnection connectedSidecar(SidecarSettings.BackendKind kind, InetSocketAddress backend) {
        return connect(readySidecar(kind, backend));
    }

    SidecarRole readySidecar(SidecarSettings.BackendKind kind, InetSocketAddress backend) {
        SidecarRole sidecar = sidecar(kind, backend);
        Await.until("sidecar ready", sidecar::isReady);
        return sidecar;
    }

    ClientConnection connect(SidecarRole sidecar) {
        return connect(sidecar, TransportOptions.of(InstanceId.of("gateway-1"), "gateway", SECRET));
    }

    /** Connects like an unresponsive gateway, which keeps the connection open but sends no heartbeats. */
    ClientConnection connectWithoutHeartbeats(SidecarRole sidecar) {
        return connect(
                sidecar,
                new TransportOptions(
                        InstanceId.of("gateway-2"), "gateway", SECRET, 10_000, 600_000, 600_000, 1_200_000, 1 << 20));
    }

    private ClientConnection connect(SidecarRole sidecar, TransportOptions options) {
        ClientConnection connection = FrameClient.create(options, eventLoops)
                .connect(sidecar.address())
                .join();
        resources.push(connection::close);
        return connection;
    }

    private <T extends AutoCloseable> T closeAtEnd(T resource) {
        resources.push(resource);
        return resource;
    }

    static RequestInfo.Builder request(String id, int promptTokens, int maxTokens) {
        return RequestInfo.newBuilder()
                .setRequestId(id)
                .setTeam("team-a")
                .setKeyId("key-a")
                .setModel("model")
                .setPromptTokens(promptTokens)
                .setMaxOutputTokens(maxTokens)
                .setPredictedOutputTokens(maxTokens)
                .setDeadlineMs(600_000);
    }

    static ByteString body(String prompt, int maxTokens) {
        return ByteString.copyFromUtf8(
                "{\"model\":\"model\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + maxTokens + ",\"stream\":true}");
    }

    static TestCall admit(ClientConnection connection, RequestInfo.Builder request) {
        return TestCall.open(
                connection,
                Frame.newBuilder().setAdmitPrefill(AdmitPrefill.newBuilder().setRequest(request)));
    }

    static TestCall reserve(ClientConnection connection, RequestInfo.Builder request) {
        return reserve(connection, request, 0);
    }

    static TestCall reserve(ClientConnection connection, RequestInfo.Builder request, long kvBytes) {
        return TestCall.open(
                connection,
                Frame.newBuilder()
                        .setReserveDecode(ReserveDecode.newBuilder()
                                .setRequest(request)
                                .setKvBytes(kvBytes)
                                .setTimeToLiveMs(10_000)));
    }

    static void startPrefill(TestCall call, String prompt) {
        call.await(Frame::hasPrefillReady);
        call.send(Frame.newBuilder()
                .setStartPrefill(StartPrefill.newBuilder().setPath(PATH).setBody(body(prompt, 1))));
    }

    static PrefillDone prefill(ClientConnection connection, String id, String prompt) {
        TestCall call = admit(connection, request(id, 100, 10));
        startPrefill(call, prompt);
        return call.await(Frame::hasPrefillDone).getPrefillDone();
    }

    static void startDecode(TestCall call, String handle, String prompt, int maxTokens) {
        String reservation =
                call.await(Frame::hasDecodeReserved).getDecodeReserved().getReservationId();
        call.send(Frame.newBuilder()
                .setStartDecode(StartDecode.newBuilder()
                        .setReservationId(reservation)
                        .setHandle(handle)
                        .setPath(PATH)
                        .setBody(body(prompt, maxTokens))));
    }

    /** Reserves and starts a generation whose prompt the decode engine prefills itself. */
    static TestCall generate(ClientConnection connection, String id, String prompt, int maxTokens) {
        TestCall call = reserve(connection, request(id, 100, maxTokens));
        startDecode(call, "", prompt, maxTokens);
        return call;
    }

    /** Runs short generations one after the other until the ramp has reached the limit. */
    static void warmUp(ClientConnection connection, int limit) {
        for (int i = 0; status(connection).getLoad().getRampLimit() < limit; i++) {
            generate(connection, "warm-up-" + i, "a", 1).await(Frame::hasGenerationDone);
        }
    }

    static PlainCall.Builder plainCall(String key, long recordIndex, int attempt) {
        return PlainCall.newBuilder()
                .setRequestId("request-" + key + "-" + attempt)
                .setTeam("team-a")
                .setMethod("POST")
                .setPath("/book")
                .setBody(ByteString.copyFromUtf8("{}"))
                .setDeadlineMs(600_000)
                .setIdempotencyKey(key)
                .setRecordIndex(recordIndex)
                .setAttempt(attempt);
    }

    static TestCall plain(ClientConnection connection, PlainCall.Builder message) {
        return TestCall.open(connection, Frame.newBuilder().setPlainCall(message));
    }

    static SidecarStatus status(ClientConnection connection) {
        return TestCall.open(
                        connection, Frame.newBuilder().setSidecarStatusQuery(SidecarStatusQuery.getDefaultInstance()))
                .await(Frame::hasSidecarStatus)
                .getSidecarStatus();
    }

    /** Waits until the sidecar and the engine hold no request and no memory. */
    static void awaitAllReleased(ClientConnection connection, StandInEngine engine) {
        Await.until(
                "all requests and memory released",
                () -> engine.state().heldBlocks() == 0
                        && engine.state().liveRequests().isEmpty()
                        && isIdle(connection));
    }

    static boolean isIdle(ClientConnection connection) {
        var load = status(connection).getLoad();
        return load.getFreeBlocks() == load.getTotalBlocks() && load.getRunning() == 0 && load.getQueued() == 0;
    }

    @Override
    public void close() throws Exception {
        while (!resources.isEmpty()) {
            resources.pop().close();
        }
        eventLoops.shutdownGracefully();
    }
}
