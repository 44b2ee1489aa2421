/** Programs kept as rows: budgets reserved and settled by condition, turns kept with their chain. */
@NullMarked
package org.celerygw.core.turns;

import org.jspecify.annotations.NullMarked;
