/** Runs the owner of this host's slots: feeds it events, does its effects, and relays answers to the callers. */
@NullMarked
package org.celerygw.daemon.work;

import org.jspecify.annotations.NullMarked;
