package io.chivehollow.settings;

/**
 * What the machine grants to one process; 0 stands for a value that is not known.
 *
 * <p>Immutable and thread-safe.
 *
 * @param processorShare share of one processor core, from 0 to the number of cores
 * @param memoryMb memory in MB above which the process is killed
 * @param maxDescriptors largest number of open files and sockets
 * @param linkMbps rate of the network link in Mbit/s, in each direction
 */
public record ProcessLimits(double processorShare, double memoryMb, int maxDescriptors, double linkMbps) {

    /** Returns limits of which nothing is known. */
    public static ProcessLimits unknown() {
        return new ProcessLimits(0, 0, 0, 0);
    }
}
