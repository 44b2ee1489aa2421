/**
 * Experiments in virtual time on modelled engines.
 *
 * <p>Start from {@link org.celerygw.cli.experiment.PolicyExperiment}.
 */
@NullMarked
package org.celerygw.cli.experiment;

import org.jspecify.annotations.NullMarked;
