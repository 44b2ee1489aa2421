/** Forwards client requests to backend servers, with retries, token budgets and stored turns. */
@NullMarked
package org.celerygw.gateway.forward;

import org.jspecify.annotations.NullMarked;
