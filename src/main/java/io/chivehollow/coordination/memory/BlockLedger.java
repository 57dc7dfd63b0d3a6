package io.chivehollow.coordination.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.chivehollow.base.RequestId;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Counts the memory blocks of one engine that are granted to requests.
 *
 * <p>A grant belongs to a request and to an owner, which is the connection over which the request was received.
 * Invariant: the free blocks and the blocks of all grants add up to the total. Not thread-safe; callers must provide
 * external synchronization.
 */
public final class BlockLedger {

    private final int totalBlocks;
    private final Map<RequestId, Grant> grants = new HashMap<>();
    private final Map<Long, Set<RequestId>> requestsByOwner = new HashMap<>();
    private int freeBlocks;

    private BlockLedger(int totalBlocks) {
        this.totalBlocks = totalBlocks;
        this.freeBlocks = totalBlocks;
    }

    /** Returns a ledger in which all blocks are free. */
    public static BlockLedger create(int totalBlocks) {
        checkArgument(totalBlocks > 0, "totalBlocks must be positive, but was %s", totalBlocks);
        return new BlockLedger(totalBlocks);
    }

    /** Returns the number of blocks that the given number of tokens needs, rounded up. */
    public static int blocksFor(long tokens, int blockTokens) {
        checkArgument(tokens >= 0, "tokens must not be negative, but was %s", tokens);
        checkArgument(blockTokens > 0, "blockTokens must be positive, but was %s", blockTokens);
        return Math.toIntExact((tokens + blockTokens - 1) / blockTokens);
    }

    /**
     * Grants blocks to a request that has no grant yet.
     *
     * @return false, without any change, if too few blocks are free or the request already has a grant
     */
    public boolean tryGrant(RequestId requestId, long ownerId, int blocks) {
        checkArgument(blocks > 0, "blocks must be positive, but was %s", blocks);
        if (blocks > freeBlocks || grants.containsKey(requestId)) {
            return false;
        }
        grants.put(requestId, new Grant(ownerId, blocks));
        requestsByOwner.computeIfAbsent(ownerId, id -> new LinkedHashSet<>()).add(requestId);
        freeBlocks -= blocks;
        return true;
    }

    /**
     * Adds blocks to the grant of a request.
     *
     * @return false, without any change, if too few blocks are free or the request has no grant
     */
    public boolean tryExtend(RequestId requestId, int blocks) {
        checkArgument(blocks > 0, "blocks must be positive, but was %s", blocks);
        Grant grant = grants.get(requestId);
        if (grant == null || blocks > freeBlocks) {
            return false;
        }
        grants.put(requestId, new Grant(grant.ownerId(), grant.blocks() + blocks));
        freeBlocks -= blocks;
        return true;
    }

    /** Releases the blocks of a request and returns their number, 0 if it has no grant. */
    public int release(RequestId requestId) {
        Grant grant = grants.remove(requestId);
        if (grant == null) {
            return 0;
        }
        freeBlocks += grant.blocks();
        Set<RequestId> requests = requestsByOwner.get(grant.ownerId());
        if (requests != null) {
            requests.remove(requestId);
            if (requests.isEmpty()) {
                requestsByOwner.remove(grant.ownerId());
            }
        }
        return grant.blocks();
    }

    /** Releases the blocks of all requests of an owner and returns these requests in the order of their grants. */
    public List<RequestId> releaseOwner(long ownerId) {
        Set<RequestId> requests = requestsByOwner.remove(ownerId);
        if (requests == null) {
            return List.of();
        }
        List<RequestId> released = new ArrayList<>(requests);
        released.forEach(this::release);
        return released;
    }

    /** Releases all blocks after a restart in which the engine lost its memory, and returns the affected requests. */
    public List<RequestId> clear() {
        List<RequestId> released = List.copyOf(grants.keySet());
        grants.clear();
        requestsByOwner.clear();
        freeBlocks = totalBlocks;
        return released;
    }

    /** Returns the number of blocks granted to a request, 0 if it has no grant. */
    public int blocksOf(RequestId requestId) {
        Grant grant = grants.get(requestId);
        return grant == null ? 0 : grant.blocks();
    }

    /** Returns the number of requests that have a grant. */
    public int grantCount() {
        return grants.size();
    }

    public int freeBlocks() {
        return freeBlocks;
    }

    public int totalBlocks() {
        return totalBlocks;
    }

    private record Grant(long ownerId, int blocks) {}
}
