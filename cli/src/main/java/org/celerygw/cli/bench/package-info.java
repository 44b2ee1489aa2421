/** The benchmark: what a daemon adds to a call, measured beside the same call sent directly. */
@NullMarked
package org.celerygw.cli.bench;

import org.jspecify.annotations.NullMarked;
