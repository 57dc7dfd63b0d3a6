package io.chivehollow.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Loads and validates settings files.
 *
 * <p>Stateless and thread-safe. Relative paths in a settings file are resolved against the folder of the file.
 */
public final class SettingsLoader {

    private static final int MIN_SECRET_BYTES = 16;

    /** A prefill result expires in less than one second, according to the environment described in docs/design.md. */
    private static final int DEFAULT_PREFILL_EXPIRY_MS = 800;

    /** A transfer cannot complete after its prefill result has expired; the rest covers the first decode step. */
    private static final int DEFAULT_TRANSFER_TIMEOUT_MS = 2_000;

    /** The target for the time between two output tokens of a warm engine. */
    private static final int DEFAULT_WARM_OUTPUT_TOKEN_US = 45_000;

    /** A prefill takes as long as tens of output tokens: 8,000 prompt tokens take about 10 x 45 ms. */
    private static final int DEFAULT_WARM_PROMPT_TOKEN_US = 60;

    private static final int MAX_PORT = 65_535;

    /** A backend server may receive requests for 3 s after it is listed as draining; a third of that is for polling. */
    private static final int DEFAULT_BACKEND_LIST_PERIOD_MS = 1_000;

    /** Withdrawn API keys stop working within 5 s; 2 s of them cover sending the request and timer delays. */
    private static final int DEFAULT_FRESHNESS_MS = 3_000;

    /** The installations give a process 8 s after SIGTERM; the rest is for the replica to transfer leadership. */
    private static final double DEFAULT_RETRY_SHARE = 0.2;

    private static final double DEFAULT_RETRY_SLACK = 50;
    private static final double DEFAULT_RETRY_WINDOW_S = 10;
    private static final int DEFAULT_FORWARDING_SHUTDOWN_MS = 7_000;

    private static final double MIN_PROCESSOR_SHARE = 0.01;
    private static final double MAX_PROCESSOR_SHARE = 1_024;
    private static final double MIN_MEMORY_MB = 16;
    private static final double MAX_MEMORY_MB = 1 << 24;

    /** Below it, listeners and connections to the other instances leave none for callers. */
    private static final int MIN_DESCRIPTORS = 64;

    private static final double MIN_LINK_MBPS = 0.01;
    private static final double MAX_LINK_MBPS = 1e6;
    private static final double MAX_LINK_MEGABITS = 1e7;
    private static final double BYTES_PER_MEGABIT = 125_000;

    /** Share of the instance's link for servers of other failure domains; the rest is for callers and own servers. */
    private static final double DEFAULT_CROSS_DOMAIN_LINK_SHARE = 0.5;

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private SettingsLoader() {}

    /**
     * Returns the settings of the file.
     *
     * @throws SettingsException if the file cannot be read or has faults; it names every fault
     */
    public static Settings load(Path file) {
        List<SettingsFault> faults = new ArrayList<>();
        JsonNode root = parse(file, faults);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        Settings settings = read(file, root, faults);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return settings;
    }

    private static JsonNode parse(Path file, List<SettingsFault> faults) {
        try {
            JsonNode root = MAPPER.readTree(Files.readString(file));
            if (root.isObject()) {
                return root;
            }
            faults.add(new SettingsFault(
                    file.toString(), "line 1", root.getNodeType().toString(), "a JSON object"));
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            String position =
                    location == null ? "line 1" : "line " + location.getLineNr() + ", column " + location.getColumnNr();
            faults.add(new SettingsFault(file.toString(), position, e.getOriginalMessage(), "JSON with comments"));
        } catch (IOException e) {
            faults.add(new SettingsFault(file.toString(), "file", e.toString(), "a readable file"));
        }
        return JsonNodeFactory.instance.objectNode();
    }

    private static Settings read(Path file, JsonNode root, List<SettingsFault> faults) {
        ObjectReader reader = new ObjectReader(file.toString(), "", root, faults);
        InstanceId instance = InstanceId.of(reader.identifier("instance"));
        FailureDomain domain = FailureDomain.of(reader.identifier("failure_domain"));
        byte[] secret = reader.has("secret") ? inlineSecret(reader) : readSecret(file, reader, "secret_file");
        List<InetSocketAddress> replicas = reader.addresses("replicas");
        int peerPort = reader.wholeNumber("peer_port", 0, 0, MAX_PORT);
        InetSocketAddress metricsAddress = reader.optionalAddress("metrics_address");
        LogFormat logFormat = reader.optionalChoice("log_format", LogFormat.TEXT);
        ProcessLimits limits = readLimits(reader.optionalObject("limits"));
        GatewaySettings gateway = readGateway(file, reader.optionalObject("gateway"));
        SidecarSettings sidecar = readSidecar(reader.optionalObject("sidecar"));
        ReplicaSettings replica = readReplica(file, instance, peerPort, replicas, reader.optionalObject("replica"));
        ForwardingSettings forwarding = readForwarding(reader.optionalObject("forwarding"));
        reader.checkNoOtherFields();
        boolean hasRole = gateway != null || sidecar != null || replica != null || forwarding != null;
        if (!hasRole && faults.isEmpty()) {
            reader.fault(
                    "gateway",
                    JsonNodeFactory.instance.missingNode(),
                    "at least one of gateway, sidecar, replica, forwarding");
        }
        return new Settings(
                instance,
                domain,
                secret,
                replicas,
                peerPort == 0 ? OptionalInt.empty() : OptionalInt.of(peerPort),
                metricsAddress,
                logFormat,
                limits,
                gateway,
                sidecar,
                replica,
                forwarding);
    }

    private static byte[] readSecret(Path file, ObjectReader reader, String field) {
        String name = reader.text(field);
        Path path = file.toAbsolutePath().resolveSibling(name);
        try {
            byte[] secret = Files.readString(path).strip().getBytes(StandardCharsets.UTF_8);
            if (secret.length >= MIN_SECRET_BYTES) {
                return secret;
            }
            reader.fault(
                    field,
                    JsonNodeFactory.instance.textNode(name),
                    "a file with a secret of at least " + MIN_SECRET_BYTES + " bytes, but it has " + secret.length);
        } catch (IOException e) {
            reader.fault(field, JsonNodeFactory.instance.textNode(name), "a readable file");
        }
        return new byte[MIN_SECRET_BYTES];
    }

    private static byte[] inlineSecret(ObjectReader reader) {
        byte[] secret = reader.text("secret").getBytes(StandardCharsets.UTF_8);
        if (secret.length < MIN_SECRET_BYTES) {
            reader.fault(
                    "secret",
                    JsonNodeFactory.instance.textNode("..."),
                    "a secret of at least " + MIN_SECRET_BYTES + " bytes, but it has " + secret.length);
            return new byte[MIN_SECRET_BYTES];
        }
        return secret;
    }

    private static ProcessLimits readLimits(@Nullable ObjectReader reader) {
        if (reader == null) {
            return ProcessLimits.unknown();
        }
        ProcessLimits limits = new ProcessLimits(
                reader.filledNumber("processor_share", 0, MIN_PROCESSOR_SHARE, MAX_PROCESSOR_SHARE),
                reader.filledNumber("memory_mb", 0, MIN_MEMORY_MB, MAX_MEMORY_MB),
                (int) reader.filledNumber("max_descriptors", 0, MIN_DESCRIPTORS, Integer.MAX_VALUE),
                reader.filledNumber("link_mbps", 0, MIN_LINK_MBPS, MAX_LINK_MBPS));
        reader.checkNoOtherFields();
        return limits;
    }

    private static @Nullable ForwardingSettings readForwarding(@Nullable ObjectReader reader) {
        if (reader == null) {
            return null;
        }
        ForwardingSettings settings = new ForwardingSettings(
                reader.identifier("adapter"),
                reader.address("address"),
                reader.address("readiness_address"),
                reader.address("operator_address"),
                reader.address("peer_address"),
                reader.address("backend_list_address"),
                reader.wholeNumber("backend_list_period_ms", DEFAULT_BACKEND_LIST_PERIOD_MS, 100, 60_000),
                reader.wholeNumber("freshness_ms", DEFAULT_FRESHNESS_MS, 500, 600_000),
                reader.wholeNumber("tolerated_tokens", 0L, 0L, 1L << 50),
                reader.number("tolerated_share", 0, 0, 1),
                reader.number("tolerance_window_s", 0, 0, 3_600),
                reader.number("retry_share", DEFAULT_RETRY_SHARE, 0, 10),
                reader.number("retry_slack", DEFAULT_RETRY_SLACK, 0, 1e9),
                reader.number("retry_window_s", DEFAULT_RETRY_WINDOW_S, 0.1, 3_600),
                reader.wholeNumber("shutdown_ms", DEFAULT_FORWARDING_SHUTDOWN_MS, 0, 3_600_000),
                readLocality(reader.optionalObject("locality")),
                reader.optionalChoice("queue_order", QueueOrder.ARRIVAL));
        reader.checkNoOtherFields();
        return settings;
    }

    private static @Nullable LocalitySettings readLocality(@Nullable ObjectReader reader) {
        if (reader == null) {
            return null;
        }
        double linkMegabits = reader.filledNumber("link_megabits_per_second", 0, 0, MAX_LINK_MEGABITS);
        long defaultBytes = (long) (linkMegabits * BYTES_PER_MEGABIT * DEFAULT_CROSS_DOMAIN_LINK_SHARE);
        LocalitySettings settings = new LocalitySettings(
                linkMegabits,
                reader.wholeNumber("cross_domain_bytes_per_second", defaultBytes, 0L, 1L << 50),
                reader.wholeNumber("cross_domain_kv_bytes_per_second", 0L, 0L, 1L << 50));
        reader.checkNoOtherFields();
        return settings;
    }

    private static @Nullable GatewaySettings readGateway(Path file, @Nullable ObjectReader reader) {
        if (reader == null) {
            return null;
        }
        GatewaySettings settings = new GatewaySettings(
                reader.address("http_address"),
                readSecret(file, reader, "operator_key_file"),
                reader.wholeNumber("max_body_bytes", 8 << 20, 1_024, 64 << 20),
                reader.wholeNumber("max_header_bytes", 16_384, 1_024, 1 << 20),
                reader.wholeNumber("read_timeout_ms", 10_000, 100, 600_000),
                reader.wholeNumber("write_timeout_ms", 30_000, 100, 600_000),
                reader.wholeNumber("stream_buffer_chars", 1 << 18, 1_024, 1 << 26),
                reader.wholeNumber("request_timeout_ms", 300_000, 100, 3_600_000),
                reader.wholeNumber("interactive_queue_ms", 5_000, 10, 600_000),
                reader.wholeNumber("batch_queue_ms", 60_000, 10, 3_600_000),
                reader.wholeNumber("shutdown_ms", 30_000, 0, 3_600_000),
                reader.wholeNumber("subset_size", 48, 1, 10_000));
        reader.checkNoOtherFields();
        return settings;
    }

    private static @Nullable SidecarSettings readSidecar(@Nullable ObjectReader reader) {
        if (reader == null) {
            return null;
        }
        SidecarSettings settings = new SidecarSettings(
                reader.address("address"),
                BackendServerId.of(reader.identifier("backend_server")),
                reader.address("backend_address"),
                reader.choice("kind", SidecarSettings.BackendKind.class),
                reader.wholeNumber("memory_blocks", 40, 1, 1_000_000),
                reader.wholeNumber("block_tokens", 4_096, 1, 1_000_000),
                reader.wholeNumber("max_concurrent", 20, 1, 10_000),
                reader.wholeNumber("link_bytes_per_second", 10_000_000_000L, 1L, 1L << 50),
                reader.wholeNumber("call_timeout_ms", 10_000, 10, 3_600_000),
                reader.wholeNumber("prefill_expiry_ms", DEFAULT_PREFILL_EXPIRY_MS, 10, 3_600_000),
                reader.wholeNumber("transfer_timeout_ms", DEFAULT_TRANSFER_TIMEOUT_MS, 10, 3_600_000),
                reader.wholeNumber("warm_output_token_us", DEFAULT_WARM_OUTPUT_TOKEN_US, 1, 10_000_000),
                reader.wholeNumber("warm_prompt_token_us", DEFAULT_WARM_PROMPT_TOKEN_US, 1, 10_000_000),
                reader.wholeNumber("warm_fixed_ms", 100, 0, 600_000));
        reader.checkNoOtherFields();
        return settings;
    }

    private static @Nullable ReplicaSettings readReplica(
            Path file,
            InstanceId instance,
            int peerPort,
            List<InetSocketAddress> replicas,
            @Nullable ObjectReader reader) {
        if (reader == null) {
            return null;
        }
        InetSocketAddress address = reader.address("address");
        Path folder = file.toAbsolutePath().resolveSibling(reader.text("data_folder"));
        List<ReplicaSettings.Member> members = new ArrayList<>();
        ReplicaSettings.JoinPolicy joining = reader.optionalChoice("joining", ReplicaSettings.JoinPolicy.BY_OPERATOR);
        if (peerPort != 0) {
            for (InetSocketAddress seed : replicas) {
                String host = seed.getAddress().getHostAddress();
                members.add(new ReplicaSettings.Member(host, new InetSocketAddress(seed.getAddress(), peerPort)));
            }
        } else {
            for (ObjectReader member : reader.objects("members")) {
                members.add(new ReplicaSettings.Member(member.identifier("instance"), member.address("address")));
                member.checkNoOtherFields();
            }
        }
        boolean mustBeListed = joining == ReplicaSettings.JoinPolicy.BY_OPERATOR;
        if (mustBeListed
                && members.stream().noneMatch(member -> member.instance().equals(instance.value()))) {
            reader.fault(
                    "members",
                    JsonNodeFactory.instance.textNode(members.toString()),
                    "a list that contains this instance, " + instance);
        }
        int voteHoldMs = reader.wholeNumber("vote_hold_ms", ReplicaSettings.DEFAULT_VOTE_HOLD_MS, 100, 60_000);
        int abandonAfterSeconds = reader.wholeNumber("abandon_after_s", 0, 0, 86_400);
        int snapshotEntries = reader.wholeNumber("snapshot_entries", 10_000, 10, 10_000_000);
        int maxWeightLoads = reader.wholeNumber("max_weight_loads", 2, 1, 10_000);
        reader.checkNoOtherFields();
        return new ReplicaSettings(
                address, folder, members, joining, voteHoldMs, abandonAfterSeconds, snapshotEntries, maxWeightLoads);
    }
}
