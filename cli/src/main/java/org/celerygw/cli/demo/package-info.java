/** A complete deployment in one process on loopback, daemons and embedded stand-ins, for demonstrations and tests. */
@NullMarked
package org.celerygw.cli.demo;

import org.jspecify.annotations.NullMarked;
