/** The recorded state of programs: a pure function of the entries applied in order. */
@NullMarked
package org.celerygw.core.program;

import org.jspecify.annotations.NullMarked;
