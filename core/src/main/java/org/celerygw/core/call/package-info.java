/** One call of a program: the request as the entry host understood it and how it ended. */
@NullMarked
package org.celerygw.core.call;

import org.jspecify.annotations.NullMarked;
