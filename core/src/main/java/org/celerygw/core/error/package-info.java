/** Typed failures: each carries a code and says whether the request ran. */
@NullMarked
package org.celerygw.core.error;

import org.jspecify.annotations.NullMarked;
