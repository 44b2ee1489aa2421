/** The settings of one daemon: an INI file that is validated completely before anything starts. */
@NullMarked
package org.celerygw.daemon.settings;

import org.jspecify.annotations.NullMarked;
