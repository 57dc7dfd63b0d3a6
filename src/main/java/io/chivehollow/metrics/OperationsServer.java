package io.chivehollow.metrics;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.jboss.logging.Logger;

/**
 * Serves health, readiness and metrics of a process without a gateway.
 *
 * <p>Uses the HTTP codec of Netty on the event loops of the process, because a separate HTTP server would take more
 * memory than a sidecar has. The number of connections, the size of requests and the idle time of connections are
 * bounded. Thread-safe.
 */
public final class OperationsServer implements AutoCloseable {

    /** Enough for a few scrapers and load balancers; further connections are closed at once. */
    private static final int MAX_CONNECTIONS = 16;

    private static final int MAX_LINE_BYTES = 1_024;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_BODY_BYTES = 1_024;

    /** Longer than the usual scrape interval of 15 s, so that a scraper can keep its connection. */
    private static final int IDLE_TIMEOUT_S = 60;

    private static final String PLAIN_TEXT = "text/plain; charset=utf-8";
    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";

    private static final Logger LOG = Logger.getLogger(OperationsServer.class);

    private final Channel serverChannel;
    private final ChannelGroup connections;

    private OperationsServer(Channel serverChannel, ChannelGroup connections) {
        this.serverChannel = serverChannel;
        this.connections = connections;
    }

    /**
     * Starts a server at the address. The caller shuts down the event loops after it has closed the server.
     *
     * @param readiness returns whether the process is ready to serve
     * @param scrape writes the metrics
     * @param executor runs the scrapes, which would delay other I/O on an event loop
     */
    public static OperationsServer start(
            InetSocketAddress address,
            EventLoopGroup eventLoops,
            Supplier<Readiness> readiness,
            ScrapeWriter scrape,
            Executor executor) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (connections.size() >= MAX_CONNECTIONS) {
                            channel.close();
                            return;
                        }
                        connections.add(channel);
                        channel.pipeline()
                                .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_S, TimeUnit.SECONDS))
                                .addLast(new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_BODY_BYTES))
                                .addLast(new HttpServerKeepAliveHandler())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES, true))
                                .addLast(new RequestHandler(readiness, scrape, executor));
                    }
                });
        Channel channel = bootstrap.bind(address).syncUninterruptibly().channel();
        LOG.infof("Metrics and health are served at %s", channel.localAddress());
        return new OperationsServer(channel, connections);
    }

    /** Returns the address at which the server listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    @Override
    public void close() {
        serverChannel.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }

    /** Responds to the requests of one connection; used on the connection's event loop. */
    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Supplier<Readiness> readiness;
        private final ScrapeWriter scrape;
        private final Executor executor;

        RequestHandler(Supplier<Readiness> readiness, ScrapeWriter scrape, Executor executor) {
            this.readiness = readiness;
            this.scrape = scrape;
            this.executor = executor;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                context.writeAndFlush(response(HttpResponseStatus.BAD_REQUEST, PLAIN_TEXT, "bad request\n"));
                context.close();
                return;
            }
            if (!request.method().equals(HttpMethod.GET)) {
                context.writeAndFlush(response(HttpResponseStatus.METHOD_NOT_ALLOWED, PLAIN_TEXT, "use GET\n"));
                return;
            }
            switch (request.uri()) {
                case "/healthz" -> context.writeAndFlush(response(HttpResponseStatus.OK, PLAIN_TEXT, "ok\n"));
                case "/readyz" -> context.writeAndFlush(readinessResponse());
                case "/metrics" -> executor.execute(() -> writeMetrics(context));
                default -> context.writeAndFlush(response(HttpResponseStatus.NOT_FOUND, PLAIN_TEXT, "not found\n"));
            }
        }

        private FullHttpResponse readinessResponse() {
            Readiness current = readiness.get();
            HttpResponseStatus status =
                    current.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            return response(status, PLAIN_TEXT, current.toText());
        }

        private void writeMetrics(ChannelHandlerContext context) {
            try {
                context.writeAndFlush(response(HttpResponseStatus.OK, PROMETHEUS_TEXT, scrape.write()));
            } catch (RuntimeException e) {
                LOG.error("Cannot write the metrics; the scrape gets an error response", e);
                context.writeAndFlush(
                        response(HttpResponseStatus.INTERNAL_SERVER_ERROR, PLAIN_TEXT, "metrics cannot be written\n"));
            }
        }

        private static FullHttpResponse response(HttpResponseStatus status, String type, String body) {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, type)
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            return response;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debugf("Closing an operations connection after an error: %s", cause);
            context.close();
        }
    }
}
