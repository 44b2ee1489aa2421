/**
 * Programs stored as rows: token budgets with conditional reservation and settlement, and the history of completed
 * turns with references to their parents.
 */
@NullMarked
package org.celerygw.core.turns;

import org.jspecify.annotations.NullMarked;
