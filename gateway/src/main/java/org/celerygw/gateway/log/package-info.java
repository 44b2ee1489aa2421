/** Structured logs that never hold up a request: bounded, by kind of line, with what was dropped told. */
@NullMarked
package org.celerygw.gateway.log;

import org.jspecify.annotations.NullMarked;
