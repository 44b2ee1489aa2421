/** The port for operators and the monitor: authentication, roles, the record of actions and typed errors. */
@NullMarked
package org.celerygw.daemon.operator;

import org.jspecify.annotations.NullMarked;
