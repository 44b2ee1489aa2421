/** Evaluation of the load digests that hosts send each other. */
@NullMarked
package org.celerygw.core.peers;

import org.jspecify.annotations.NullMarked;
