package io.chivehollow.state.machine;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.Deployment;
import io.chivehollow.protocol.wire.PublishDeployment;
import io.chivehollow.protocol.wire.SetDomain;
import io.chivehollow.protocol.wire.TeamAccess;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a deployment that goes back to a lower revision, loses its document, or changes what release notes
 * have set.
 */
public class PublishedDeploymentTest {

    private ControlState state = ControlState.create();
    private long index;

    @BeforeMethod
    public void start() {
        state = ControlState.create();
        index = 0;
    }

    private CommandResult apply(Command command) {
        try {
            return CommandResult.parseFrom(state.apply(++index, command.toByteArray()));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Command publish(long revision, String team, double rate, String document) {
        return Command.newBuilder()
                .setPublishDeployment(PublishDeployment.newBuilder()
                        .setDeployment(Deployment.newBuilder()
                                .setRevision(revision)
                                .addTeams(TeamAccess.newBuilder()
                                        .setTeam(team)
                                        .setRatePerSecond(rate)
                                        .setBurst(rate)))
                        .setDocument(ByteString.copyFromUtf8(document)))
                .build();
    }

    private static Command setDomain(String domain, boolean isOutOfService) {
        return Command.newBuilder()
                .setSetDomain(SetDomain.newBuilder().setDomain(domain).setOut(isOutOfService))
                .build();
    }

    @Test
    public void lowerOrEqualRevisionIsAcceptedWithoutEffect() {
        assertEquals(apply(publish(7, "red", 10, "seven")).getDeployment().getRevision(), 7);
        long version = state.releasedState().getVersion();
        CommandResult older = apply(publish(5, "blue", 20, "five"));
        CommandResult other = apply(publish(7, "blue", 20, "other content"));
        assertEquals(older.getErrorCode(), "");
        assertEquals(other.getErrorCode(), "");
        assertEquals(other.getDeployment().getRevision(), 7);
        assertEquals(state.releasedState().getVersion(), version);
        assertEquals(state.deploymentDocument().toStringUtf8(), "seven");
        assertEquals(apply(publish(12, "blue", 20, "twelve")).getDeployment().getRevision(), 12);
        assertEquals(state.releasedState().getVersion(), version + 1);
        assertEquals(state.deploymentDocument().toStringUtf8(), "twelve");
    }

    /** Guards against a deployment that removes or changes the teams, and so the budgets, of release notes. */
    @Test
    public void deploymentReplacesItsOwnTeamsOnly() {
        apply(Commands.release("first", 1, Commands.FIRST_NOTE));
        apply(publish(1, "green", 10, "one"));
        apply(publish(2, "blue", 20, "two"));
        assertEquals(
                state.releasedState().getTeamsList().stream()
                        .map(team -> team.getId() + " " + team.getRateTokensPerSecond())
                        .toList()
                        .toString(),
                "[red 1000, blue 20]");
    }

    /** Guards against a budget for a team without a rate, which has no limit and borrows nothing. */
    @Test
    public void teamWithoutRateHasNoBudget() {
        apply(publish(1, "green", 0, "one"));
        assertTrue(state.releasedState().getTeamsList().isEmpty());
    }

    @Test
    public void snapshotKeepsDeploymentAndDocument() {
        apply(publish(3, "red", 10, "three"));
        apply(setDomain("north", true));
        ControlState restored = ControlState.create();
        restored.restore(state.snapshot());
        assertEquals(restored.releasedState(), state.releasedState());
        assertEquals(restored.deploymentDocument().toStringUtf8(), "three");
    }

    /** Guards against a delayed command that undoes a later change, also if the failure domain looks as it did then. */
    @Test
    public void domainChangeBasedOnAnEarlierVersionIsRefused() {
        apply(setDomain("north", true));
        long version = state.releasedState().getDomainsVersion();
        apply(setDomain("north", false));
        apply(setDomain("north", true));
        apply(publish(7, "red", 10, "seven"));
        Command delayed = based(setDomain("north", false), version);
        assertEquals(apply(delayed).getErrorCode(), "state_changed");
        assertTrue(state.releasedState().getDomains(0).getOut());
        Command current = based(setDomain("north", false), state.releasedState().getDomainsVersion());
        assertEquals(apply(current).getErrorCode(), "");
        assertFalse(state.releasedState().getDomains(0).getOut());
        assertEquals(apply(current).getErrorCode(), "");
    }

    private static Command based(Command setDomain, long domainsVersion) {
        return setDomain.toBuilder()
                .setSetDomain(setDomain.getSetDomain().toBuilder().setDomainsVersion(domainsVersion))
                .build();
    }

    /** Guards against a retried command that fails or counts as a change. */
    @Test
    public void retriedDomainChangeChangesNothing() {
        apply(setDomain("north", true));
        long version = state.releasedState().getVersion();
        assertEquals(apply(setDomain("north", true)).getErrorCode(), "");
        assertEquals(state.releasedState().getVersion(), version);
        apply(setDomain("north", false));
        assertFalse(state.releasedState().getDomains(0).getOut());
        assertEquals(apply(setDomain("elsewhere", false)).getErrorCode(), "");
        assertEquals(apply(setDomain("", true)).getErrorCode(), "invalid_request");
    }
}
