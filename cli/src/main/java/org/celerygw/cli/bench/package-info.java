/** Measurements: what a daemon adds to a call, and what membership and configuration cost a fleet. */
@NullMarked
package org.celerygw.cli.bench;

import org.jspecify.annotations.NullMarked;
