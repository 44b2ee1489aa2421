/** The settings of one daemon: an INI file, checked whole before anything starts. */
@NullMarked
package org.celerygw.daemon.settings;

import org.jspecify.annotations.NullMarked;
