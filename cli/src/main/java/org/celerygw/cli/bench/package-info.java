/** Benchmarks: what a daemon adds to a call, the cost of a decision, and what membership costs a fleet. */
@NullMarked
package org.celerygw.cli.bench;

import org.jspecify.annotations.NullMarked;
