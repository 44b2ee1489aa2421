/** Structured logging that never blocks a request: bounded queues, a rate limit per kind of line, dropped lines counted. */
@NullMarked
package org.celerygw.gateway.log;

import org.jspecify.annotations.NullMarked;
