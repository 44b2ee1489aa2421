/** The gRPC API for operators and the monitor: authentication, roles, audit log and typed errors. */
@NullMarked
package org.celerygw.daemon.operator;

import org.jspecify.annotations.NullMarked;
