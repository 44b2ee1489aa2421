/** Group commit of entries to the table, and reading them back. */
@NullMarked
package org.celerygw.core.journal;

import org.jspecify.annotations.NullMarked;
