package io.chivehollow.settings;

/** Order in which requests wait for memory of language models. */
public enum QueueOrder {
    /** Requests that can still meet their target first, each group in the order of arrival. */
    ARRIVAL,
    /** By the priority of route and team, where the requests for a service differ in it. */
    URGENCY
}
