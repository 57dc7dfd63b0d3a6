package io.chivehollow.coordination.sidecar;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against an index that evicts the start of a prefix and stores its end, which can then never match. */
public class PrefixIndexTest {

    @Test
    public void tailIsEvictedBeforeHead() {
        PrefixIndex index = new PrefixIndex(4);
        index.add(List.of(1L, 2L, 3L));
        index.add(List.of(7L, 8L));
        assertEquals(index.cachedPrefixLength(List.of(1L, 2L, 3L)), 2);
        assertEquals(index.cachedPrefixLength(List.of(7L, 8L)), 2);
    }

    @Test
    public void lookupDoesNotChangeTheEvictionOrder() {
        PrefixIndex index = new PrefixIndex(3);
        index.add(List.of(1L, 2L));
        index.add(List.of(7L));
        assertEquals(index.cachedPrefixLength(List.of(1L, 2L)), 2);
        index.add(List.of(9L));
        assertEquals(index.cachedPrefixLength(List.of(1L, 2L)), 1);
    }
}
