/** Failures with an error code and the information whether the request ran. */
@NullMarked
package org.celerygw.core.error;

import org.jspecify.annotations.NullMarked;
