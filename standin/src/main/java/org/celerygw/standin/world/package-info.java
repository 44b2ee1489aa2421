/** A fleet of owners in model time before fakes that fail on purpose, an oracle, a fuzzer and scenarios. */
@NullMarked
package org.celerygw.standin.world;

import org.jspecify.annotations.NullMarked;
