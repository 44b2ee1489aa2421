/** Measurements whose results the capacity page is computed from. */
@NullMarked
package org.celerygw.cli.bench;

import org.jspecify.annotations.NullMarked;
