package io.chivehollow.state.machine;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.protocol.wire.Deployment;
import io.chivehollow.protocol.wire.DeploymentResult;
import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.PublishDeployment;
import io.chivehollow.protocol.wire.ReleasedState;
import io.chivehollow.protocol.wire.SetDomain;
import io.chivehollow.protocol.wire.Team;
import io.chivehollow.protocol.wire.TeamAccess;
import org.jspecify.annotations.Nullable;

/**
 * Applies published deployments and changes of failure domains to the released state.
 *
 * <p>Operators publish a deployment as a whole, under a revision that they choose. Invariants: the revision never
 * decreases, and the document is the one from which the released deployment was read. Release notes are numbered
 * independently of deployments; a team belongs to the deployment if its release number is 0, and a deployment replaces
 * only those teams. Not thread-safe.
 */
final class PublishedDeployment {

    private ByteString document = ByteString.EMPTY;

    /** Returns the operator's document of the released deployment, compressed with gzip; empty if there is none. */
    ByteString document() {
        return document;
    }

    /** Returns the state after the command, or null if the revision is not higher than the released one. */
    ReleasedState.@Nullable Builder publish(PublishDeployment command, ReleasedState released) {
        Deployment deployment = command.getDeployment();
        if (released.hasDeployment() && released.getDeployment().getRevision() >= deployment.getRevision()) {
            return null;
        }
        document = command.getDocument();
        ReleasedState.Builder next =
                released.toBuilder().setDeployment(deployment).clearTeams();
        next.addAllTeams(released.getTeamsList().stream()
                .filter(team -> team.getReleaseNumber() != 0)
                .toList());
        next.addAllTeams(rateLimitedTeams(deployment));
        return next;
    }

    /** Returns the teams that have a rate; the others have no budget to lend. */
    private static List<Team> rateLimitedTeams(Deployment deployment) {
        List<Team> teams = new ArrayList<>();
        for (TeamAccess access : deployment.getTeamsList()) {
            long rate = (long) Math.ceil(access.getRatePerSecond());
            if (rate > 0) {
                long burst = Math.max(1, (long) Math.ceil(access.getBurst()));
                teams.add(Team.newBuilder()
                        .setId(access.getTeam())
                        .setRateTokensPerSecond(rate)
                        .setBurstTokens(burst)
                        .setWeight(1)
                        .build());
            }
        }
        return teams;
    }

    static CommandResult.Builder result(ReleasedState released) {
        return CommandResult.newBuilder()
                .setDeployment(DeploymentResult.newBuilder()
                        .setRevision(released.getDeployment().getRevision())
                        .setConfigVersion(released.getVersion()));
    }

    /** Returns the state after the command, or null if the command does not change the failure domain. */
    static ReleasedState.@Nullable Builder setDomain(SetDomain command, ReleasedState released) {
        ReleasedState.Builder next = released.toBuilder().clearDomains();
        boolean isListed = false;
        boolean hasChanged = false;
        for (Domain domain : released.getDomainsList()) {
            if (domain.getId().equals(command.getDomain())) {
                isListed = true;
                hasChanged = domain.getOut() != command.getOut();
                next.addDomains(domain.toBuilder().setOut(command.getOut()));
            } else {
                next.addDomains(domain);
            }
        }
        if (!isListed && command.getOut()) {
            hasChanged = true;
            next.addDomains(Domain.newBuilder().setId(command.getDomain()).setOut(true));
        }
        return hasChanged ? next : null;
    }

    static CommandResult.Builder emptyDomainResult() {
        return CommandResults.refused(ErrorCode.INVALID_REQUEST, "domain: expected the id of a failure domain");
    }

    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setDeploymentDocument(document);
    }

    void restore(ControlSnapshot snapshot) {
        document = snapshot.getDeploymentDocument();
    }
}
