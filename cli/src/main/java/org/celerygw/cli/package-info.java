/** The command line of operators and the monitor. */
@NullMarked
package org.celerygw.cli;

import org.jspecify.annotations.NullMarked;
