package io.chivehollow.coordination.sidecar;

import java.util.List;
import java.util.Optional;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Identifiers;
import io.chivehollow.base.ModelId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.config.ConfigView;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.protocol.wire.Model;
import io.chivehollow.protocol.wire.Team;

/**
 * Decides from the released configuration whether the sidecar accepts new work.
 *
 * <p>Thread-safe.
 */
final class ReleasedAdmission {

    private static final String OPEN_ROUTE_TEAM = "-";

    private final SidecarOptions options;
    private final ConfigView configView;
    private final boolean isEnabled;
    private volatile boolean isShuttingDown;

    ReleasedAdmission(SidecarOptions options, ConfigView view, boolean isEnabled) {
        this.options = options;
        this.configView = view;
        this.isEnabled = isEnabled;
    }

    /** Returns why new work is refused, or empty; only work for a team needs a provably fresh configuration. */
    Optional<Refusal> refusal(boolean isForTeam) {
        if (!isEnabled) {
            return Optional.empty();
        }
        Optional<Refusal> drainReason = drainReason();
        if (drainReason.isPresent()) {
            return drainReason;
        }
        if (isForTeam && !configView.isFresh()) {
            return Optional.of(new Refusal(
                    ErrorCode.CONFIGURATION_STALE, "The sidecar cannot prove that its configuration is current"));
        }
        return Optional.empty();
    }

    /** Refuses all new work from now on. */
    void shutDown() {
        isShuttingDown = true;
    }

    /** Returns why the backend server only finishes its open work, or empty if it is in service. */
    Optional<Refusal> drainReason() {
        if (isShuttingDown) {
            return Optional.of(new Refusal(ErrorCode.SHUTTING_DOWN, "The sidecar is shutting down"));
        }
        Configuration current = configView.current().orElse(null);
        if (current == null) {
            return Optional.empty();
        }
        if (current.isDraining(options.backendServer())) {
            return Optional.of(
                    new Refusal(ErrorCode.DRAINING, "Backend server " + options.backendServer() + " is draining"));
        }
        if (current.isOutOfService(options.failureDomain())) {
            return Optional.of(new Refusal(
                    ErrorCode.DOMAIN_OUT, "Failure domain " + options.failureDomain() + " is out of service"));
        }
        return Optional.empty();
    }

    int weight(TeamId team) {
        int weight = configView
                .current()
                .flatMap(current -> current.team(team))
                .map(Team::getWeight)
                .orElse(1);
        return Math.max(1, weight);
    }

    /** Returns the prompt tokens that a decode engine may prefill at once, 0 if the model is not configured. */
    int directPromptTokens(String model) {
        return Identifiers.isIdentifier(model)
                ? configView
                        .current()
                        .flatMap(current -> current.model(ModelId.of(model)))
                        .map(Model::getDirectPromptTokens)
                        .orElse(0)
                : 0;
    }

    /** Returns whether the configuration copy has the API key; false also for a key that is newer than the copy. */
    boolean hasApiKey(String keyId) {
        return configView.current().flatMap(current -> current.apiKey(keyId)).isPresent();
    }

    List<TeamId> teams() {
        return configView.current().map(Configuration::state).stream()
                .flatMap(state -> state.getTeamsList().stream())
                .map(team -> TeamId.of(team.getId()))
                .toList();
    }

    long version() {
        return configView.current().map(Configuration::version).orElse(0L);
    }

    /** Returns the team, or the common team of open routes, whose requests have none, if the argument is empty. */
    static TeamId teamOf(String team) {
        return TeamId.of(team.isEmpty() ? OPEN_ROUTE_TEAM : team);
    }

    /** Reason for refusing a request; immutable. */
    record Refusal(ErrorCode code, String message) {}
}
