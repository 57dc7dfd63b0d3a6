package io.chivehollow.settings;

/**
 * Settings for the choice between the backend servers of several failure domains.
 *
 * <p>Immutable and thread-safe.
 *
 * @param linkMegabitsPerSecond speed of the instance's network link, 0 if it is not known
 * @param crossDomainBytesPerSecond requests and responses that this instance exchanges with servers of other failure
 *     domains, 0 for no bound
 * @param crossDomainKvBytesPerSecond KV caches that move between failure domains for requests of this instance, 0 for
 *     no bound
 */
public record LocalitySettings(
        double linkMegabitsPerSecond, long crossDomainBytesPerSecond, long crossDomainKvBytesPerSecond) {}
