package io.chivehollow.state.machine;

import java.util.Map;
import java.util.TreeMap;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.protocol.wire.LendingState;
import io.chivehollow.protocol.wire.SaveBudgets;
import io.chivehollow.protocol.wire.SavedBudget;
import io.chivehollow.protocol.wire.StartLending;

/**
 * The term of the leader that lends token budgets, and the last checkpoint of each team's budget.
 *
 * <p>Invariants: only the leader that lends writes checkpoints; a team without a checkpoint has a full budget of which
 * nothing is lent. Checkpoints of withdrawn teams are retained, so that a team that is added again does not get its
 * burst twice. Not thread-safe.
 */
final class LendingRecord {

    private final Map<String, SavedBudget> checkpoints = new TreeMap<>();
    private long lendingTerm;

    CommandResult.Builder startLending(StartLending command) {
        if (command.getTerm() < lendingTerm) {
            return CommandResults.refused(ErrorCode.FENCED, "the leader of term " + lendingTerm + " lends the budgets");
        }
        lendingTerm = command.getTerm();
        return CommandResult.newBuilder().setLending(state());
    }

    CommandResult.Builder saveBudgets(SaveBudgets command) {
        if (command.getState().getTerm() != lendingTerm) {
            return CommandResults.refused(ErrorCode.FENCED, "the leader of term " + lendingTerm + " lends the budgets");
        }
        for (SavedBudget budget : command.getState().getBudgetsList()) {
            if (budget.getFull()) {
                checkpoints.remove(budget.getTeam());
            } else {
                checkpoints.put(budget.getTeam(), budget);
            }
        }
        return CommandResult.newBuilder();
    }

    private LendingState state() {
        return LendingState.newBuilder()
                .setTerm(lendingTerm)
                .addAllBudgets(checkpoints.values())
                .build();
    }

    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setLending(state());
    }

    void restore(ControlSnapshot snapshot) {
        lendingTerm = snapshot.getLending().getTerm();
        checkpoints.clear();
        snapshot.getLending().getBudgetsList().forEach(budget -> checkpoints.put(budget.getTeam(), budget));
    }
}
