package io.chivehollow.coordination.forwarding;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.google.protobuf.ByteString;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.forwarding.adapter.EndpointHandler;
import io.chivehollow.coordination.forwarding.adapter.OperatorActions;
import io.chivehollow.coordination.replica.ControlClient;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.Deployment;
import io.chivehollow.protocol.wire.DeploymentQuery;
import io.chivehollow.protocol.wire.PublishDeployment;
import io.chivehollow.protocol.wire.Query;

/**
 * Executes operators' actions through the replicated log.
 *
 * <p>Thread-safe.
 */
final class ReplicatedActions implements OperatorActions {

    /** Operators send the request to another instance after a second without a response. */
    private static final int TIMEOUT_MS = 900;

    /**
     * Document bytes for each additional millisecond of the timeout; larger documents take longer to send and to
     * commit.
     */
    private static final int BYTES_PER_MS = 1_000;

    private final ControlClient control;

    ReplicatedActions(ControlClient control) {
        this.control = control;
    }

    @Override
    public CompletableFuture<Long> publish(Deployment deployment, byte[] document) {
        Command command = Command.newBuilder()
                .setPublishDeployment(PublishDeployment.newBuilder()
                        .setDeployment(deployment)
                        .setDocument(ByteString.copyFrom(compress(document))))
                .build();
        return control.submit(command, TIMEOUT_MS + document.length / BYTES_PER_MS)
                .thenApply(result -> checked(result).getDeployment().getRevision());
    }

    @Override
    public CompletableFuture<Optional<byte[]>> document() {
        Query query = Query.newBuilder()
                .setDeployment(DeploymentQuery.getDefaultInstance())
                .build();
        return control.query(query, TIMEOUT_MS).thenApply(result -> {
            ByteString document = result.getDeploymentDocument();
            return document.isEmpty() ? Optional.empty() : Optional.of(decompress(document.toByteArray()));
        });
    }

    @Override
    public CompletableFuture<Void> setDomain(
            FailureDomain domain, boolean isOutOfService, EndpointHandler.Caller caller) {
        DomainChange change = new DomainChange(control::query, control::submit, System::nanoTime, TIMEOUT_MS);
        return change.run(domain, isOutOfService, caller);
    }

    static CommandResult checked(CommandResult result) {
        if (!result.getErrorCode().isEmpty()) {
            throw CoordinationException.notRun(
                    ErrorCode.fromWireName(result.getErrorCode()), String.join("; ", result.getFaultsList()));
        }
        return result;
    }

    private static byte[] compress(byte[] document) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
            gzip.write(document);
        } catch (IOException e) {
            throw new UncheckedIOException("The document cannot be compressed in memory", e);
        }
        return compressed.toByteArray();
    }

    private static byte[] decompress(byte[] compressed) {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            return gzip.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException("The stored document cannot be decompressed", e);
        }
    }
}
