/** Argument checks. */
@NullMarked
package org.celerygw.core.helper;

import org.jspecify.annotations.NullMarked;
