package io.chivehollow.coordination.forwarding.locality;

/** Why a request is sent to a server of another failure domain. */
enum LeaveReason {
    /** No server of the own domain is listed that may receive the request. */
    NO_HOME_SERVER,
    /** Operators have taken the own domain out of service. */
    HOME_OUT_OF_SERVICE,
    /** No server of the own domain has room. */
    HOME_FULL,
    /** The request would miss its target in the own domain and can meet it elsewhere. */
    HOME_SLOW,
    /** The wait in the own domain is longer by more than the cost, and the request belongs to the share that leaves. */
    HOME_BUSY,
    /** Servers of the service are selected without regard to their domain. */
    ANY_DOMAIN
}
