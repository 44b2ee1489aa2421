/** Small helpers: argument checks, a bounded map, status lines, and the signals of a process. */
@NullMarked
package org.celerygw.core.helper;

import org.jspecify.annotations.NullMarked;
