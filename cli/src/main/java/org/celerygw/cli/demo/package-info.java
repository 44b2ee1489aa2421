/** The whole system in one process on loopback: several daemons on embedded stand-ins, for a first look and tests. */
@NullMarked
package org.celerygw.cli.demo;

import org.jspecify.annotations.NullMarked;
