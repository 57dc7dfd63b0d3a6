package io.chivehollow.state.machine;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The configuration items of one kind, such as teams or pools, in a draft of the released state.
 *
 * <p>Not thread-safe.
 */
final class ConfigSection<T> {

    private final String name;
    private final Function<T, String> idOf;
    private final Map<String, T> items = new TreeMap<>();

    ConfigSection(String name, List<T> items, Function<T, String> idOf) {
        this.name = name;
        this.idOf = idOf;
        for (T item : items) {
            this.items.put(idOf.apply(item), item);
        }
    }

    /**
     * Applies the changes. Adds a fault for each item that is named more than once, added although it exists, or
     * changed or withdrawn although it does not exist.
     */
    void apply(List<T> added, List<T> changed, List<String> withdrawn, List<String> faults) {
        Set<String> mentionedIds = new HashSet<>();
        for (int i = 0; i < added.size(); i++) {
            String id = idOf.apply(added.get(i));
            if (isFirstMention(mentionedIds, "added", i, id, faults) && items.containsKey(id)) {
                faults.add(faultPrefix("added", i, id) + "there is such an item already");
            }
            items.putIfAbsent(id, added.get(i));
        }
        for (int i = 0; i < changed.size(); i++) {
            String id = idOf.apply(changed.get(i));
            if (isFirstMention(mentionedIds, "changed", i, id, faults) && !items.containsKey(id)) {
                faults.add(faultPrefix("changed", i, id) + "there is no such item");
            }
            items.put(id, changed.get(i));
        }
        for (int i = 0; i < withdrawn.size(); i++) {
            String id = withdrawn.get(i);
            if (isFirstMention(mentionedIds, "withdrawn", i, id, faults) && !items.containsKey(id)) {
                faults.add(faultPrefix("withdrawn", i, id) + "there is no such item");
            }
            items.remove(id);
        }
    }

    private boolean isFirstMention(
            Set<String> mentionedIds, String part, int position, String id, List<String> faults) {
        if (mentionedIds.add(id)) {
            return true;
        }
        faults.add(faultPrefix(part, position, id) + "the note names this item more than once");
        return false;
    }

    private String faultPrefix(String part, int position, String id) {
        return part + "." + name + "[" + position + "]: \"" + id + "\": ";
    }

    boolean contains(String id) {
        return items.containsKey(id);
    }

    void retainAll(Collection<String> ids) {
        items.keySet().retainAll(ids);
    }

    Set<String> ids() {
        return items.keySet();
    }

    Collection<T> items() {
        return items.values();
    }
}
