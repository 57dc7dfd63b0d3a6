package io.chivehollow.coordination.loads;

/** Stage of the load of a model or adapter from the weight store, as the permit's holder reports it. */
public enum WeightLoadStage {
    /** The holder waits for the permit. */
    WAITING,
    /** The backend server loads the weights. */
    LOADING,
    /** The load has ended or is no longer needed. */
    ENDED
}
