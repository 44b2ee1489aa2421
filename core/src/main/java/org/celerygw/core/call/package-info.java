/** Calls of a program: the parsed request and its outcome. */
@NullMarked
package org.celerygw.core.call;

import org.jspecify.annotations.NullMarked;
