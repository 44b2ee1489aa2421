/** Many memberships in one process over a model network in model time, with real encodings and injected faults. */
@NullMarked
package org.celerygw.standin.fleet;

import org.jspecify.annotations.NullMarked;
