package io.chivehollow.state.machine;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.chivehollow.protocol.wire.BackendServer;
import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.Model;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.PoolRole;
import io.chivehollow.protocol.wire.Route;
import io.chivehollow.protocol.wire.Team;

/**
 * Parses release notes.
 *
 * <p>Stateless and thread-safe. The result depends on nothing but the bytes, because all replicas parse the same note
 * and must get the same result.
 */
final class ReleaseNoteParser {

    /** Largest integer that the JSON tools of operators represent exactly. */
    private static final long MAX_NUMBER = (1L << 53) - 1;

    private static final long MAX_TOKENS = 1_000_000_000_000L;
    /** Keeps the product of a rate and a second in nanoseconds below 2^63. */
    private static final long MAX_RATE = 1_000_000_000L;

    private static final int MAX_WEIGHT = 1_000_000;
    private static final long MAX_KV_BYTES_PER_TOKEN = 1L << 30;
    private static final int MAX_TARGET_MS = 3_600_000;
    private static final int MAX_CONTEXT_TOKENS = 100_000_000;

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private ReleaseNoteParser() {}

    /** Returns the note; it may be used only if no fault was added to the list. */
    static ReleaseNote parse(byte[] json, List<String> faults) {
        ReleaseNoteReader reader = new ReleaseNoteReader("", readTree(json, faults), faults);
        String noteId = reader.identifier("note_id");
        long number = reader.wholeNumber("number", 1, MAX_NUMBER);
        String operator = reader.identifier("operator");
        ReleaseNote.ConfigItems added = items(reader.object("added"), number, true);
        ReleaseNote.ConfigItems changed = items(reader.object("changed"), number, false);
        ReleaseNote.WithdrawnIds withdrawn = withdrawn(reader.object("withdrawn"));
        reader.checkNoOtherFields();
        if (faults.isEmpty() && added.isEmpty() && changed.isEmpty() && withdrawn.isEmpty()) {
            faults.add("added, changed, withdrawn: all empty: expected at least one change");
        }
        return new ReleaseNote(noteId, number, operator, added, changed, withdrawn);
    }

    private static JsonNode readTree(byte[] json, List<String> faults) {
        try {
            JsonNode root = MAPPER.readTree(json);
            if (root != null && root.isObject()) {
                return root;
            }
            faults.add("note: expected a JSON object");
        } catch (IOException e) {
            faults.add("note: not JSON: " + firstLine(e.getMessage()));
        }
        return JsonNodeFactory.instance.objectNode();
    }

    private static String firstLine(String message) {
        return message.lines().findFirst().orElse("");
    }

    private static ReleaseNote.ConfigItems items(ReleaseNoteReader reader, long number, boolean hasDraining) {
        ReleaseNote.ConfigItems items = new ReleaseNote.ConfigItems(
                reader.objects("teams", team -> team(team, number)),
                reader.objects("routes", route -> route(route, number)),
                reader.objects("domains", domain -> domain(domain, number)),
                reader.objects("pools", pool -> pool(pool, number)),
                reader.objects("models", model -> model(model, number)),
                hasDraining ? reader.identifiers("draining") : List.of());
        reader.checkNoOtherFields();
        return items;
    }

    private static ReleaseNote.WithdrawnIds withdrawn(ReleaseNoteReader reader) {
        ReleaseNote.WithdrawnIds ids = new ReleaseNote.WithdrawnIds(
                reader.identifiers("teams"),
                reader.identifiers("routes"),
                reader.identifiers("domains"),
                reader.identifiers("pools"),
                reader.identifiers("models"),
                reader.identifiers("draining"));
        reader.checkNoOtherFields();
        return ids;
    }

    private static Team team(ReleaseNoteReader reader, long number) {
        return Team.newBuilder()
                .setId(reader.identifier("id"))
                .setRateTokensPerSecond(reader.wholeNumber("rate_tokens_per_second", 1, MAX_RATE))
                .setBurstTokens(reader.wholeNumber("burst_tokens", 1, MAX_TOKENS))
                .setWeight((int) reader.optionalNumber("weight", 1, 1, MAX_WEIGHT))
                .setReleaseNumber(number)
                .build();
    }

    private static Route route(ReleaseNoteReader reader, long number) {
        return Route.newBuilder()
                .setPath(reader.routePath("path"))
                .setPool(reader.identifier("pool"))
                .setOpen(reader.optionalFlag("open"))
                .setIdempotent(reader.optionalFlag("idempotent"))
                .setReleaseNumber(number)
                .build();
    }

    private static Domain domain(ReleaseNoteReader reader, long number) {
        return Domain.newBuilder()
                .setId(reader.identifier("id"))
                .setOut(reader.optionalFlag("out"))
                .setReleaseNumber(number)
                .build();
    }

    private static Pool pool(ReleaseNoteReader reader, long number) {
        return Pool.newBuilder()
                .setId(reader.identifier("id"))
                .setRole(reader.choice("role", List.of(PoolRole.PREFILL, PoolRole.DECODE, PoolRole.PLAIN)))
                .addAllServers(reader.objects("servers", ReleaseNoteParser::server))
                .addAllModels(reader.identifiers("models"))
                .setReleaseNumber(number)
                .build();
    }

    private static BackendServer server(ReleaseNoteReader reader) {
        return BackendServer.newBuilder()
                .setId(reader.identifier("id"))
                .setDomain(reader.identifier("domain"))
                .setSidecarAddress(reader.socketAddress("sidecar_address"))
                .build();
    }

    private static Model model(ReleaseNoteReader reader, long number) {
        return Model.newBuilder()
                .setId(reader.identifier("id"))
                .setContextTokens((int) reader.wholeNumber("context_tokens", 1, MAX_CONTEXT_TOKENS))
                .setDefaultOutputTokens((int) reader.wholeNumber("default_output_tokens", 1, MAX_CONTEXT_TOKENS))
                .setDirectPromptTokens((int) reader.optionalNumber("direct_prompt_tokens", 0, 0, MAX_CONTEXT_TOKENS))
                .setFirstTokenTargetMs((int) reader.optionalNumber("first_token_target_ms", 0, 0, MAX_TARGET_MS))
                .setKvBytesPerToken(reader.optionalNumber("kv_bytes_per_token", 0, 0, MAX_KV_BYTES_PER_TOKEN))
                .setReleaseNumber(number)
                .build();
    }
}
