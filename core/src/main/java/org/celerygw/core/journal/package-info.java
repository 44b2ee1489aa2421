/** The per-host write-ahead journal: group commit of entries to the table, and reading journals back. */
@NullMarked
package org.celerygw.core.journal;

import org.jspecify.annotations.NullMarked;
