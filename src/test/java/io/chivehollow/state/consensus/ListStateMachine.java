package io.chivehollow.state.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A state machine that stores all commands in order. */
final class ListStateMachine implements StateMachine {

    private final List<String> commands = new ArrayList<>();

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        commands.add(new String(command, StandardCharsets.UTF_8));
        return Integer.toString(commands.size()).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public synchronized byte[] snapshot() {
        return String.join("\n", commands).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public synchronized void restore(byte[] snapshot) {
        commands.clear();
        if (snapshot.length > 0) {
            commands.addAll(List.of(new String(snapshot, StandardCharsets.UTF_8).split("\n")));
        }
    }

    synchronized List<String> commands() {
        return List.copyOf(commands);
    }
}
