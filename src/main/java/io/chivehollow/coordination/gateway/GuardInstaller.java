package io.chivehollow.coordination.gateway;

import io.micronaut.context.annotation.Requires;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import jakarta.inject.Singleton;
import org.jspecify.annotations.Nullable;

/**
 * Adds a {@link RequestGuard} and a {@link WriteGuard} to the pipeline of each connection.
 *
 * <p>Thread-safe.
 */
@Singleton
@Requires(beans = GatewayCore.class)
final class GuardInstaller implements BeanCreatedEventListener<NettyServerCustomizer.Registry> {

    private final GatewayCore core;

    GuardInstaller(GatewayCore core) {
        this.core = core;
    }

    @Override
    public NettyServerCustomizer.Registry onCreated(BeanCreatedEvent<NettyServerCustomizer.Registry> event) {
        event.getBean().register(new Customizer(null));
        return event.getBean();
    }

    /** Adds the handlers to a pipeline once it contains the HTTP codec. */
    private final class Customizer implements NettyServerCustomizer {

        private final @Nullable Channel channel;

        Customizer(@Nullable Channel channel) {
            this.channel = channel;
        }

        @Override
        public NettyServerCustomizer specializeForChannel(Channel connection, ChannelRole role) {
            return new Customizer(connection);
        }

        @Override
        public void onStreamPipelineBuilt() {
            if (channel == null) {
                return;
            }
            ChannelPipeline pipeline = channel.pipeline();
            RequestGuard guard = new RequestGuard(core);
            String codec = ChannelPipelineCustomizer.HANDLER_HTTP_SERVER_CODEC;
            pipeline.addBefore(codec, "request-byte-watch", guard.byteListener());
            pipeline.addAfter(codec, "request-guard", guard);
            if (core.isEnabled(GatewaySafeguard.WRITE_TIMEOUT)) {
                pipeline.addBefore(
                        codec,
                        "write-guard",
                        new WriteGuard(core.gatewaySettings().writeTimeoutMs()));
            }
        }
    }
}
