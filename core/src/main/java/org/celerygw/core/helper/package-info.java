/** Argument checks used by the other packages. */
@NullMarked
package org.celerygw.core.helper;

import org.jspecify.annotations.NullMarked;
