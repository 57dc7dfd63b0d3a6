package io.chivehollow.coordination.gateway;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.config.ApiKeys;
import io.chivehollow.protocol.engine.ManagementCommand;
import io.chivehollow.protocol.openai.Json;
import io.chivehollow.protocol.wire.ApplyRelease;
import io.chivehollow.protocol.wire.BackendServer;
import io.chivehollow.protocol.wire.ChangeMembers;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.CreateKey;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.NextFencingNumber;
import io.chivehollow.protocol.wire.Order;
import io.chivehollow.protocol.wire.OrderResult;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.ReleaseLogQuery;
import io.chivehollow.protocol.wire.WithdrawKey;
import org.jboss.logging.Logger;

/**
 * Implements the operations for operators.
 *
 * <p>Thread-safe. Every change goes through the replica leader; this class stores nothing.
 */
final class AdminService {

    private static final Logger LOG = Logger.getLogger(AdminService.class);

    /** Long enough for a model load, which waits in the queue of the weight store and then takes minutes. */
    private static final int COMMAND_TIMEOUT_MS = 1_800_000;

    /**
     * Time after which the response says that the command is still running. It is shorter than the timeout of the
     * command-line client.
     */
    private static final int COMMAND_RESPONSE_MS = 10_000;

    /**
     * Another operator may take the next release number between the query and the submission. There are more attempts
     * than operators.
     */
    private static final int MAX_NUMBER_ATTEMPTS = 5;

    private final GatewayCore core;
    private final SecureRandom random = new SecureRandom();

    AdminService(GatewayCore core) {
        this.core = core;
    }

    /** Submits a release note, unchanged as the operator wrote it. */
    CompletableFuture<ObjectNode> applyRelease(byte[] note) {
        ObjectNode parsed = Json.parseObject(note);
        Command command = Command.newBuilder()
                .setApplyRelease(ApplyRelease.newBuilder()
                        .setNoteId(parsed.path("note_id").asText())
                        .setNumber(parsed.path("number").asLong())
                        .setOperator(parsed.path("operator").asText())
                        .setNote(ByteString.copyFrom(note)))
                .build();
        return submit(command, "The release note was rejected").thenApply(result -> Json.object()
                .put("number", result.getRelease().getNumber())
                .put("config_version", result.getRelease().getConfigVersion()));
    }

    CompletableFuture<ObjectNode> releases() {
        Query query = Query.newBuilder()
                .setReleaseLog(ReleaseLogQuery.getDefaultInstance())
                .build();
        return core.control().query(query).thenApply(result -> AdminJson.releases(result.getReleasesList()));
    }

    /** Returns the configuration in effect at this gateway; throws if the gateway cannot prove that it is current. */
    ObjectNode state() {
        if (!core.config().isFresh()) {
            throw Failures.of(
                    ErrorCode.CONFIGURATION_STALE,
                    "This instance cannot prove that its configuration is current",
                    true);
        }
        return AdminJson.state(core.configuration().state());
    }

    CompletableFuture<ObjectNode> createKey(byte[] body) {
        String team = Json.parseObject(body).path("team").asText();
        ApiKeys.NewKey key = core.apiKeys().generate(random);
        Command command = Command.newBuilder()
                .setCreateKey(CreateKey.newBuilder()
                        .setKeyId(key.id())
                        .setTeam(team)
                        .setSecretMac(key.secretMac())
                        .setCommandId(newId()))
                .build();
        return submit(command, "The API key was not created").thenApply(result -> Json.object()
                .put("key_id", key.id())
                .put("team", team)
                .put("key", key.text())
                .put("config_version", result.getKey().getConfigVersion()));
    }

    CompletableFuture<ObjectNode> withdrawKey(String keyId) {
        Command command = Command.newBuilder()
                .setWithdrawKey(WithdrawKey.newBuilder().setKeyId(keyId).setCommandId(newId()))
                .build();
        return submit(command, "The API key was not withdrawn").thenApply(result -> Json.object()
                .put("key_id", keyId)
                .put("config_version", result.getKey().getConfigVersion()));
    }

    /** Takes a failure domain out of service or puts it back into service, if the operator is still connected. */
    CompletableFuture<ObjectNode> setDomainOut(String domain, boolean isOutOfService, BooleanSupplier isConnected) {
        return applyGeneratedRelease(isConnected, note -> note.putObject("changed")
                .putArray("domains")
                .addObject()
                .put("id", domain)
                .put("out", isOutOfService));
    }

    /** Drains a backend server or ends its draining, if the operator is still connected. */
    CompletableFuture<ObjectNode> setDraining(String backendServer, boolean isDraining, BooleanSupplier isConnected) {
        String section = isDraining ? "added" : "withdrawn";
        return applyGeneratedRelease(
                isConnected,
                note -> note.putObject(section).putArray("draining").add(backendServer));
    }

    /** Sends a management command to a backend server's engine under a new fencing number. */
    CompletableFuture<ObjectNode> command(String backendServer, byte[] body) {
        ObjectNode parsed = Json.parseObject(body);
        String kind = parsed.path("kind").asText();
        String argument = parsed.path("argument").asText();
        if (argument.isEmpty() || ManagementCommand.CommandKind.of(kind).isEmpty()) {
            throw Failures.of(
                    ErrorCode.INVALID_REQUEST,
                    "kind must be one of load_model, load_adapter and set_role, and argument must not be empty",
                    true);
        }
        InetSocketAddress sidecar = sidecarOf(backendServer);
        Command number = Command.newBuilder()
                .setNextFencingNumber(NextFencingNumber.newBuilder()
                        .setBackendServer(backendServer)
                        .setHolder(core.settings().instance().value()))
                .build();
        return submit(number, "No fencing number was issued for the command").thenCompose(result -> {
            long fencingNumber = result.getFencing().getFencingNumber();
            Order.Builder order =
                    Order.newBuilder().setKind(kind).setArgument(argument).setFencingNumber(fencingNumber);
            CompletableFuture<ObjectNode> done = core.connections()
                    .call(sidecar, Frame.newBuilder().setOrder(order), COMMAND_TIMEOUT_MS)
                    .thenApply(response -> commandResponse(response.getOrderResult()));
            done.whenComplete((response, failure) -> LOG.infof(
                    "Command with fencing number %d (%s) to backend server %s finished: %s",
                    fencingNumber, kind, backendServer, failure == null ? "done" : failure.toString()));
            return done.copy()
                    .completeOnTimeout(
                            Json.object().put("state", "running"), COMMAND_RESPONSE_MS, TimeUnit.MILLISECONDS)
                    .thenApply(response ->
                            response.put("backend_server", backendServer).put("fencing_number", fencingNumber));
        });
    }

    private InetSocketAddress sidecarOf(String backendServer) {
        for (Pool pool : core.configuration().state().getPoolsList()) {
            for (BackendServer server : pool.getServersList()) {
                if (server.getId().equals(backendServer)) {
                    return HostAndPorts.sidecarOf(server);
                }
            }
        }
        throw Failures.of(
                ErrorCode.BACKEND_SERVER_NOT_FOUND, "The configuration has no backend server " + backendServer, true);
    }

    private static ObjectNode commandResponse(OrderResult result) {
        if (!result.getAccepted()) {
            throw Failures.of(
                    ErrorCode.FENCED, "The backend server refused the command: " + result.getMessage(), false);
        }
        return Json.object().put("state", "done");
    }

    /**
     * Applies a release note with the next number. The number is read before the connection is checked, so that a later
     * command of the operator, at whatever gateway, takes this number or a higher one.
     */
    private CompletableFuture<ObjectNode> applyGeneratedRelease(
            BooleanSupplier isConnected, Function<ObjectNode, ?> change) {
        ObjectNode note = Json.object().put("note_id", newId()).put("operator", "operator");
        change.apply(note);
        return applyWithNextNumber(note, MAX_NUMBER_ATTEMPTS, isConnected);
    }

    private CompletableFuture<ObjectNode> applyWithNextNumber(
            ObjectNode note, int attempts, BooleanSupplier isConnected) {
        return releases().thenCompose(history -> {
            if (!isConnected.getAsBoolean()) {
                throw Failures.of(ErrorCode.CANCELLED, "The operator has disconnected", true);
            }
            int count = history.path("releases").size();
            long last = history.path("releases").path(count - 1).path("number").asLong();
            note.put("number", last + 1);
            return applyRelease(Json.toBytes(note)).exceptionallyCompose(failure -> {
                boolean isTaken = Failures.unwrap(failure).code() == ErrorCode.NUMBER_TAKEN;
                return isTaken && attempts > 1
                        ? applyWithNextNumber(note, attempts - 1, isConnected)
                        : CompletableFuture.failedFuture(failure);
            });
        });
    }

    private CompletableFuture<CommandResult> submit(Command command, String refusal) {
        return core.control().submit(command).thenApply(result -> {
            if (!result.getErrorCode().isEmpty()) {
                throw new AdminException(
                        ErrorCode.fromWireName(result.getErrorCode()), refusal, result.getFaultsList());
            }
            return result;
        });
    }

    /** Admits an instance to the replica group or removes it from the group. */
    CompletableFuture<ObjectNode> changeReplicas(String instance, boolean isRemoval) {
        ChangeMembers change = ChangeMembers.newBuilder()
                .setInstance(instance)
                .setRemove(isRemoval)
                .build();
        return core.control().changeMembers(change).thenApply(changed -> Json.object()
                .put("instance", changed.getInstance())
                .put("change", isRemoval ? "removed" : "admitted"));
    }

    /** Returns the members of the replica group as reported by its leader. */
    CompletableFuture<ObjectNode> replicas() {
        return SystemStatus.ofReplicas(core);
    }

    /** Returns the state of the replicas, the teams and the backend servers. */
    CompletableFuture<ObjectNode> status() {
        return SystemStatus.of(core);
    }

    private static String newId() {
        return UUID.randomUUID().toString();
    }
}
