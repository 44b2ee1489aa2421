/** The command line for operators and monitoring, and the tools for tests and measurements. */
@NullMarked
package org.celerygw.cli;

import org.jspecify.annotations.NullMarked;
