package org.celerygw.cli.experiment;

import java.nio.file.Path;
import java.util.List;
import org.celerygw.standin.model.Deployment;

/**
 * What to run.
 *
 * @param deployments the deployments
 * @param loads offered loads; 1.0 is what the engines serve in full batches with each token computed once
 * @param policy only this policy; empty for all
 * @param faults whether to run the fault scenarios as well
 * @param seed the seed of traces and policies
 * @param threads runs computed side by side
 * @param out the directory for policy.csv and the charts
 */
public record PolicyOptions(
        List<Deployment> deployments,
        List<Double> loads,
        String policy,
        boolean faults,
        long seed,
        int threads,
        Path out) {
    /** All loads and faults of both deployments. */
    public static final PolicyOptions DEFAULT = new PolicyOptions(
            List.of(Deployment.LITORAL, Deployment.FRASERLINE),
            List.of(0.5, 0.7, 0.85, 0.95, 1.2),
            "",
            true,
            1,
            4,
            Path.of("target", "experiment"));

    /**
     * Returns other options.
     *
     * @param name the only deployment
     * @return these options with this changed
     */
    public PolicyOptions withDeployment(String name) {
        return new PolicyOptions(
                deployments.stream().filter(d -> d.name().equals(name)).toList(),
                loads,
                policy,
                faults,
                seed,
                threads,
                out);
    }

    /**
     * Returns other options.
     *
     * @param load the only load
     * @return these options with this changed
     */
    public PolicyOptions withLoad(double load) {
        return new PolicyOptions(deployments, List.of(load), policy, faults, seed, threads, out);
    }

    /**
     * Returns other options.
     *
     * @param name the only policy
     * @return these options with this changed
     */
    public PolicyOptions withPolicy(String name) {
        return new PolicyOptions(deployments, loads, name, faults, seed, threads, out);
    }

    /**
     * Returns other options.
     *
     * @return these options with this changed
     */
    public PolicyOptions withoutFaults() {
        return new PolicyOptions(deployments, loads, policy, false, seed, threads, out);
    }

    /**
     * Returns other options.
     *
     * @param other the seed
     * @return these options with this changed
     */
    public PolicyOptions withSeed(long other) {
        return new PolicyOptions(deployments, loads, policy, faults, other, threads, out);
    }

    /**
     * Returns other options.
     *
     * @param count the threads
     * @return these options with this changed
     */
    public PolicyOptions withThreads(int count) {
        return new PolicyOptions(deployments, loads, policy, faults, seed, count, out);
    }

    /**
     * Returns other options.
     *
     * @param dir the directory
     * @return these options with this changed
     */
    public PolicyOptions withOut(Path dir) {
        return new PolicyOptions(deployments, loads, policy, faults, seed, threads, dir);
    }
}
