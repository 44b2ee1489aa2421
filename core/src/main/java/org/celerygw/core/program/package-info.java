/** The state of programs: a deterministic function of the journal entries applied in order. */
@NullMarked
package org.celerygw.core.program;

import org.jspecify.annotations.NullMarked;
