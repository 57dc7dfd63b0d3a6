package io.chivehollow.transport;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.simulation.Seeds;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Propose;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that wait for an unresponsive peer, against memory that stays reserved for a gateway that is
 * cut off, and against unnecessary heartbeats.
 *
 * <p>If the heartbeat interval is 5 s also while a call is open, a cut link is detected only after up to 12 s.
 */
public class HeartbeatTest {

    private static final byte[] SECRET = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
    private static final TransportOptions DEFAULTS = TransportOptions.of(InstanceId.of("a"), "gateway", SECRET);

    /** Slow heartbeats only: the interval is the same with and without open calls. */
    private static final TransportOptions SLOW_HEARTBEATS =
            new TransportOptions(InstanceId.of("a"), "gateway", SECRET, 1_000, 5_000, 5_000, 12_000, 1 << 20);

    private static final int MAX_DETECTION_MS = 2_000;
    private static final int SEEDS = 300;

    /** Both sides of a connection in simulated time; a cut link discards all bytes without closing either side. */
    private static final class Link {

        final MockTicker ticker = Ticker.newMockTicker();
        final List<Long> failedAt = new ArrayList<>();
        final List<Long> cancelledAt = new ArrayList<>();
        final List<ServerCall> serverCalls = new ArrayList<>();
        final NettyClientConnection client;
        final EmbeddedChannel clientChannel;
        final EmbeddedChannel serverChannel;
        private long buffers;
        boolean isCut;

        Link(TransportOptions options) {
            CompletableFuture<ClientConnection> ready = new CompletableFuture<>();
            client = new NettyClientConnection(options, ready);
            NettyServerConnection server = new NettyServerConnection(options, (call, first) -> {
                serverCalls.add(call);
                return new ServerCallListener() {
                    @Override
                    public void onCancel() {
                        cancelledAt.add(nowMs());
                    }
                };
            });
            serverChannel = channel(server.heartbeat(), server);
            clientChannel = channel(client.heartbeat(), client);
            deliver();
            assertTrue(ready.isDone());
        }

        private EmbeddedChannel channel(HeartbeatHandler heartbeat, io.netty.channel.ChannelHandler handler) {
            EmbeddedChannel channel =
                    EmbeddedChannel.builder().ticker(ticker).register(false).build();
            FramePipeline.install(channel, heartbeat, handler);
            try {
                channel.register();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
            return channel;
        }

        long nowMs() {
            return (ticker.nanoTime() - ticker.initialNanoTime()) / 1_000_000;
        }

        ClientCall open() {
            return client.open(Frame.newBuilder().setPropose(Propose.getDefaultInstance()), new CallListener() {
                @Override
                public void onFrame(Frame frame) {}

                @Override
                public void onFailure(TransportException failure) {
                    failedAt.add(nowMs());
                }
            });
        }

        /** Returns the number of frames sent; a frame is written as two buffers, its length and its content. */
        long frames() {
            return buffers / 2;
        }

        /** Advances the simulated time by one millisecond. */
        void step() {
            ticker.advanceMillis(1);
            deliver();
        }

        private void deliver() {
            for (int round = 0; round < 4; round++) {
                run(clientChannel);
                run(serverChannel);
                move(clientChannel, serverChannel);
                move(serverChannel, clientChannel);
            }
        }

        private static void run(EmbeddedChannel channel) {
            channel.runPendingTasks();
            channel.runScheduledPendingTasks();
        }

        private void move(EmbeddedChannel from, EmbeddedChannel to) {
            for (Object bytes = from.readOutbound(); bytes != null; bytes = from.readOutbound()) {
                buffers++;
                if (isCut || !to.isActive()) {
                    io.netty.util.ReferenceCountUtil.release(bytes);
                } else {
                    to.writeInbound(bytes);
                }
            }
        }
    }

    /** Opens and ends calls at random, then cuts the link; returns a failure that was detected too late, if any. */
    private static Optional<String> cutLinkAtRandom(TransportOptions options, long seed) {
        Random random = new Random(seed);
        Link link = new Link(options);
        long cutMs = 1 + random.nextInt(20_000);
        List<ClientCall> open = new ArrayList<>();
        long openedMs = 0;
        while (link.nowMs() < cutMs) {
            if (!open.isEmpty() && random.nextInt(700) == 0) {
                open.remove(0).cancel();
            } else if (random.nextInt(3_000) == 0) {
                open.add(link.open());
            }
            link.step();
            if (!link.failedAt.isEmpty() || !link.cancelledAt.isEmpty() && open.size() == link.serverCalls.size()) {
                return Optional.of("A call failed before the link was cut, at " + link.nowMs() + " ms");
            }
        }
        link.isCut = true;
        int cancelledBefore = link.cancelledAt.size();
        int callsAtCut = open.size();
        // Calls that are opened and cancelled on the cut link, then one that stays open.
        for (int i = random.nextInt(4); i > 0 && link.client.isOpen(); i--) {
            openedMs = link.nowMs();
            ClientCall shortCall = link.open();
            for (int ms = random.nextInt(1_500); ms > 0; ms--) {
                link.step();
            }
            shortCall.cancel();
        }
        if (link.client.isOpen()) {
            openedMs = link.nowMs();
            link.open();
        }
        for (int ms = 0; ms < 15_000; ms++) {
            link.step();
        }
        long lastFailureMs = link.failedAt.isEmpty() ? Long.MAX_VALUE : link.failedAt.get(link.failedAt.size() - 1);
        if (callsAtCut > 0 && link.failedAt.get(0) > cutMs + MAX_DETECTION_MS
                || lastFailureMs > openedMs + MAX_DETECTION_MS) {
            return Optional.of("Cut at " + cutMs + ", last call at " + openedMs + ", failures at " + link.failedAt);
        }
        boolean isCancelledLate = link.cancelledAt.stream().anyMatch(ms -> ms > cutMs + MAX_DETECTION_MS);
        if (isCancelledLate || link.cancelledAt.size() < cancelledBefore + callsAtCut) {
            return Optional.of("Cut at " + cutMs + ", " + callsAtCut + " open calls, cancelled at " + link.cancelledAt);
        }
        return Optional.empty();
    }

    @Test
    public void cutLinkIsDetectedWithinTwoSeconds() {
        Seeds.check(SEEDS, seed -> cutLinkAtRandom(DEFAULTS, seed));
    }

    /** Shows the failure: with slow heartbeats alone, open calls and reserved memory are released after up to 12 s. */
    @Test
    public void slowHeartbeatsAloneDetectCutLinkTooLate() {
        Seeds.checkFound(SEEDS, seed -> cutLinkAtRandom(SLOW_HEARTBEATS, seed));
    }

    /** Guards against closing an idle connection to a healthy peer, and against more heartbeats than configured. */
    @Test
    public void idleConnectionStaysOpenWithFewHeartbeats() {
        Link link = new Link(DEFAULTS);
        long start = link.frames();
        for (int ms = 0; ms < 60_000; ms++) {
            link.step();
        }
        assertTrue(link.client.isOpen() && link.serverChannel.isActive());
        assertEquals(link.frames() - start, 2 * 60 / 5);
        link.open();
        start = link.frames();
        for (int ms = 0; ms < 60_000; ms++) {
            link.step();
        }
        assertTrue(link.failedAt.isEmpty() && link.cancelledAt.isEmpty());
        // The call itself, and a Ping and its Pong every 500 ms.
        assertTrue(Math.abs(link.frames() - start - 241) <= 2, "frames " + (link.frames() - start));
    }

    /** Guards against an idle connection to a dead peer that stays open until the next request. */
    @Test
    public void deadPeerOfIdleConnectionIsDetected() {
        Link link = new Link(DEFAULTS);
        link.isCut = true;
        for (int ms = 0; ms < 12_001; ms++) {
            link.step();
        }
        assertTrue(!link.client.isOpen() && !link.serverChannel.isActive());
    }

    /** Guards against heartbeats on connections whose calls already show to both sides that the peer is responsive. */
    @Test
    public void regularCallsReplaceHeartbeats() {
        Link link = new Link(DEFAULTS);
        long start = link.frames();
        for (int poll = 0; poll < 100; poll++) {
            link.open();
            for (int ms = 0; ms < 500; ms++) {
                link.step();
            }
            link.serverCalls.get(poll).finish(Frame.newBuilder().setPropose(Propose.getDefaultInstance()));
            for (int ms = 0; ms < 50; ms++) {
                link.step();
            }
        }
        assertTrue(link.failedAt.isEmpty() && link.cancelledAt.isEmpty());
        assertEquals(link.frames() - start, 200);
    }
}
