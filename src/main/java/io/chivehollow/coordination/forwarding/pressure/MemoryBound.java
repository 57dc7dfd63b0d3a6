package io.chivehollow.coordination.forwarding.pressure;

import io.chivehollow.settings.ProcessLimits;

/**
 * Derives the bound on the bytes that a process holds for callers and backend servers.
 *
 * <p>Stateless and thread-safe.
 */
public final class MemoryBound {

    private static final long MB = 1 << 20;

    /** Share of the heap; the rest is for the replicated state and what the garbage collector has not freed yet. */
    private static final double HEAP_SHARE = 0.25;

    /** Share of the memory outside the heap; the rest is for buffers of sockets and fragmentation. */
    private static final double NATIVE_SHARE = 0.5;

    /** Memory in bytes that the Java machine needs outside the heap: classes, compiled code, stacks. */
    private static final long RUNTIME_BYTES = 110 * MB;

    /** A smaller bound would refuse the largest body that callers may send by default, which is held twice. */
    private static final long MIN_BYTES = 10 * MB;

    private MemoryBound() {}

    /**
     * Returns the bound in bytes.
     *
     * <p>Bodies of requests are on the heap, and bytes that wait for a connection are outside it, so that either may
     * have to hold all of them.
     *
     * @param maxHeapBytes largest size of the heap
     * @param limits the memory of the process, if it is known
     */
    public static long limitBytes(long maxHeapBytes, ProcessLimits limits) {
        double boundBytes = maxHeapBytes * HEAP_SHARE;
        if (limits.memoryMb() > 0) {
            double nativeBytes = limits.memoryMb() * MB - maxHeapBytes - RUNTIME_BYTES;
            boundBytes = Math.min(boundBytes, nativeBytes * NATIVE_SHARE);
        }
        return (long) Math.max(MIN_BYTES, boundBytes);
    }
}
